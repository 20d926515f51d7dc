#ifndef BRIARSPREAD_CONTRACTS_HOME_TABLE_H_
#define BRIARSPREAD_CONTRACTS_HOME_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// A share of the idempotency keys, with one owner at a time.
using HomeName = StrongValue<struct HomeNameTag, std::string>;

/// One start of one instance's process.
struct ProcessId {
  /// The instance.
  InstanceId instance;
  /// Which start of the program.
  Incarnation incarnation;

  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

/// One home and who serves it.
struct Home {
  /// Its name; stays the same when the owner changes.
  HomeName name;
  /// The process that may run the home's keys.
  ProcessId owner;
  /// The table's epoch at which `owner` took the home; names its claim log.
  Epoch term;
  /// The instance that keeps a copy of the claims; empty for none.
  InstanceId standby;

  friend bool operator==(const Home&, const Home&) = default;
};

/// Who owns which idempotency keys. The homes are a fixed list, so that a
/// takeover has one successor, which reads one log.
struct HomeTable {
  /// Grows by one with each change.
  Epoch epoch;
  /// The change that wrote this table.
  OperationId operation;
  /// All homes.
  std::vector<Home> homes;

  /// The home of `key` by rendezvous hashing over the homes' names, or null
  /// where there are none. Thread-safe.
  const Home* HomeOf(const RequestKey& key) const;
  /// The home called `name`, or null. Thread-safe.
  const Home* Find(const HomeName& name) const;

  friend bool operator==(const HomeTable&, const HomeTable&) = default;
};

/// An instance that may become a standby, and its zone.
struct StandbyCandidate {
  /// The instance.
  InstanceId instance;
  /// Its zone.
  ZoneId zone;
};

/// The standby for `home`: the next of `candidates` in the rendezvous order of
/// the home's name that is not the owner, one of another zone preferred. Empty
/// where there is none. Thread-safe.
InstanceId ChooseStandby(const HomeName& home, const StandbyCandidate& owner,
                         const std::vector<StandbyCandidate>& candidates);

/// The table as JSON text. Thread-safe.
std::string ToJson(const HomeTable& table);
/// Reads a table; `kInvalidArgument` for malformed text, too many homes, and
/// homes named twice. Thread-safe.
Result<HomeTable> ParseHomeTable(std::string_view text);

/// A table and the store's index of it.
struct StoredHomeTable {
  /// The table; without homes where the store holds none.
  HomeTable table;
  /// Its index; zero where the store holds none.
  StoreIndex index;
};

/// Reads and replaces the table in the store.
/// Thread-safe.
class HomeTableStore {
 public:
  /// Precondition: `store` outlives this object.
  explicit HomeTableStore(KeyValueStore& store) : store_(store) {}

  /// The table as the store holds it.
  Result<StoredHomeTable> Read();
  /// Writes `next` over the table read at `index`. A lost answer is settled by
  /// reading `next.operation` back. `kConflict` where another change was
  /// first; an error with `kMayHaveRun` where the outcome is unknown.
  /// Precondition: `next.operation` is not empty and not used before.
  Status Replace(StoreIndex index, const HomeTable& next);

 private:
  /// The platform's service.
  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_TABLE_H_
