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

/// Name of a home: a partition of the idempotency keys that has one owner at a
/// time.
using HomeName = StrongValue<struct HomeNameTag, std::string>;

/// Identifies one run of an instance's process.
struct ProcessId {
  InstanceId instance;
  /// Distinguishes the process from earlier and later runs of the instance.
  Incarnation incarnation;

  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

/// One home with its owner and standby.
struct Home {
  /// Stays the same when the owner changes.
  HomeName name;
  /// The process that may run requests with the home's keys.
  ProcessId owner;
  /// The table's epoch at which `owner` took the home over. Part of the key of
  /// the owner's claim log in the store.
  Epoch term;
  /// The instance that keeps a copy of the claims; empty if there is none.
  InstanceId standby;

  friend bool operator==(const Home&, const Home&) = default;
};

/// Assigns the idempotency keys to homes and the homes to owners. The list of
/// homes never changes, so a takeover moves a whole home to one successor,
/// which only has to read that home's logs.
struct HomeTable {
  /// Increases by one with each change.
  Epoch epoch;
  /// The operation that wrote this version of the table.
  OperationId operation;
  std::vector<Home> homes;

  /// Returns the home of `key` by rendezvous hashing over the homes' names, or
  /// null if there are no homes. Thread-safe.
  const Home* HomeOf(const RequestKey& key) const;
  /// Returns the home named `name`, or null. Thread-safe.
  const Home* Find(const HomeName& name) const;

  friend bool operator==(const HomeTable&, const HomeTable&) = default;
};

/// An instance that may become a standby.
struct StandbyCandidate {
  InstanceId instance;
  /// The instance's availability zone.
  ZoneId zone;
};

/// Returns the standby for `home`: the first of `candidates` in the rendezvous
/// order of the home's name that is in another zone than the owner; if there is
/// none, the first that is not the owner; otherwise an empty id. Thread-safe.
InstanceId ChooseStandby(const HomeName& home, const StandbyCandidate& owner,
                         const std::vector<StandbyCandidate>& candidates);

/// Serializes the table as JSON. Thread-safe.
std::string ToJson(const HomeTable& table);
/// Parses a table. Returns `kInvalidArgument` if the text is malformed or too
/// large, or if there are too many homes or two homes with the same name.
/// Thread-safe.
Result<HomeTable> ParseHomeTable(std::string_view text);

/// A table as read from the store.
struct StoredHomeTable {
  /// Has no homes if the store holds no table.
  HomeTable table;
  /// The store's index of the table's key; zero if the store holds no table.
  StoreIndex index;
};

/// Reads and replaces the table in the store.
/// Thread-safe.
class HomeTableStore {
 public:
  /// Precondition: `store` outlives this object.
  explicit HomeTableStore(KeyValueStore& store) : store_(store) {}

  /// Reads the table from the store.
  Result<StoredHomeTable> Read();
  /// Replaces the table that was read at `index` by `next`. If the store's
  /// response is lost, reads the table back and compares `operation`. Returns
  /// `kConflict` if another change was written first, and an error with the
  /// verdict `kMayHaveRun` if the outcome is unknown.
  /// Precondition: `next.operation` is not empty and was not used before.
  Status Replace(StoreIndex index, const HomeTable& next);

 private:
  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_HOME_TABLE_H_
