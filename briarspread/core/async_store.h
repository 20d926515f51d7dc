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

/// Id of a lease that the store has granted. Zero means no lease.
using StoreLeaseId = StrongValue<struct StoreLeaseIdTag, std::uint64_t>;

/// The last change of a key. `value` is unset if the key was removed.
struct StoreChange {
  std::string key;
  StoreIndex index;
  std::optional<std::string> value;
};

/// The keys under a prefix, and the store's index at the time of the listing.
struct StoreListing {
  std::vector<KeyValue> items;
  StoreIndex store_index;
};

/// Changes in the order in which the store applied them.
struct StoreChanges {
  std::vector<StoreChange> changes;
  /// Index from which the next watch continues.
  StoreIndex store_index;
  /// Whether a peer answered instead of the store, so that no call was paid for
  /// and the changes were collected at the peer already.
  bool is_from_peer = false;
};

/// Conditional writes and removals that take effect atomically.
struct StoreTransaction {
  struct Condition {
    std::string key;
    /// Required index of the key. Zero requires the key to be absent.
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

/// Outcome of a transaction that took effect, with the store's index of it.
struct StoreCommitted {
  StoreIndex index;
};

/// Outcome of a transaction of which a condition did not hold. Has the current
/// state of the keys of all conditions; absent keys may be missing.
struct StoreConflict {
  std::vector<KeyValue> current;
};

using StoreOutcome = std::variant<StoreCommitted, StoreConflict>;

/// A granted or renewed lease.
struct StoreLease {
  StoreLeaseId id;
  milliseconds time_to_live{0};
};

/// Asynchronous client interface of the platform's key-value service, for
/// callers on an event loop. Each call invokes its `done` callback exactly
/// once, from the loop and never from within the call itself. The verdict of an
/// error is `kNotRun` if the call had no effect, and `kMayHaveRun` if the
/// answer was lost and the call may still take effect later. The code is
/// `kStale` for a watch whose history has expired, and `kNotFound` for a lease
/// that has ended. Every call counts against the service's rate limits; a
/// waiting watch counts as one call.
class AsyncStore {
 public:
  virtual ~AsyncStore() = default;

  template <typename T>
  using Done = std::function<void(Result<T>)>;

  virtual void Get(const std::string& key,
                   Done<std::optional<KeyValue>> done) = 0;
  /// Lists all keys under `prefix`, page by page. The result is not a
  /// consistent snapshot: changes made during the listing may be missing.
  virtual void List(const std::string& prefix, Done<StoreListing> done) = 0;
  /// Waits up to `wait` for changes with an index above `after`. Returns no
  /// changes if none came.
  virtual void Watch(const std::string& prefix, StoreIndex after,
                     milliseconds wait, Done<StoreChanges> done) = 0;
  /// Precondition: at most `kMaxTransactionEntries` entries.
  virtual void Commit(StoreTransaction transaction,
                      Done<StoreOutcome> done) = 0;
  virtual void GrantLease(milliseconds time_to_live, Done<StoreLease> done) = 0;
  virtual void RenewLease(StoreLeaseId lease, Done<StoreLease> done) = 0;
  virtual void EndLease(StoreLeaseId lease, Done<std::monostate> done) = 0;
};

/// Maximum number of entries in one transaction.
inline constexpr std::size_t kMaxTransactionEntries = 32;

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_ASYNC_STORE_H_
