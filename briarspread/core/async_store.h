#ifndef BRIARSPREAD_CORE_ASYNC_STORE_H_
#define BRIARSPREAD_CORE_ASYNC_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// A lease that the store grants; zero for none.
using StoreLeaseId = StrongValue<struct StoreLeaseIdTag, std::uint64_t>;

/// One key's last change; without a value where the key was removed.
struct StoreChange {
  std::string key;
  StoreIndex index;
  std::optional<std::string> value;
};

/// Keys under a prefix, and the store's index at the time.
struct StoreListing {
  std::vector<KeyValue> items;
  StoreIndex store_index;
};

/// Changes in the order that the store made them.
struct StoreChanges {
  std::vector<StoreChange> changes;
  /// Where the next watch goes on.
  StoreIndex store_index;
};

/// Writes that take effect together, or not at all.
struct StoreTransaction {
  struct Condition {
    std::string key;
    /// The key's index; zero where it must be absent.
    StoreIndex index;
  };
  struct Write {
    std::string key;
    std::string value;
    StoreLeaseId lease;
  };
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<std::string> removals;
};

/// The transaction took effect at this index.
struct StoreCommitted {
  StoreIndex index;
};

/// A condition did not hold; the keys of all conditions as they are.
struct StoreConflict {
  std::vector<KeyValue> current;
};

using StoreOutcome = std::variant<StoreCommitted, StoreConflict>;

/// A lease as granted or renewed.
struct StoreLease {
  StoreLeaseId id;
  milliseconds time_to_live{0};
};

/// The platform's key-value service for callers on an event loop. Each call
/// ends in one call of its function, from the loop and never from within the
/// call itself. Errors: `kNotRun` where nothing was done, `kMayHaveRun` where
/// the answer was lost and the call may still take effect later; `kStale` for a
/// watch whose history is gone; `kNotFound` for a lease that has ended. Every
/// call counts against the service's rates, a waiting watch as one.
class AsyncStore {
 public:
  virtual ~AsyncStore() = default;

  template <typename T>
  using Done = std::function<void(Result<T>)>;

  virtual void Get(const std::string& key,
                   Done<std::optional<KeyValue>> done) = 0;
  /// All keys under `prefix`, page by page; no snapshot.
  virtual void List(const std::string& prefix, Done<StoreListing> done) = 0;
  /// Waits up to `wait` for changes after `after`.
  virtual void Watch(const std::string& prefix, StoreIndex after,
                     milliseconds wait, Done<StoreChanges> done) = 0;
  /// Precondition: at most `kMaxTransactionEntries` entries.
  virtual void Commit(StoreTransaction transaction,
                      Done<StoreOutcome> done) = 0;
  virtual void GrantLease(milliseconds time_to_live, Done<StoreLease> done) = 0;
  virtual void KeepLease(StoreLeaseId lease, Done<StoreLease> done) = 0;
  virtual void EndLease(StoreLeaseId lease, Done<std::monostate> done) = 0;
};

/// The most entries that one transaction takes.
inline constexpr std::size_t kMaxTransactionEntries = 32;

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_ASYNC_STORE_H_
