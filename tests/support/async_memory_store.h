#ifndef TESTS_SUPPORT_ASYNC_MEMORY_STORE_H_
#define TESTS_SUPPORT_ASYNC_MEMORY_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "briarspread/core/async_store.h"

namespace briarspread::testing {

/// An in-memory store. Responses are queued until `Deliver` is called. A commit
/// of a value over `kMaxStoreValueBytes` fails without effect. Faults apply to
/// all calls after `SetFault`. Not thread-safe.
class AsyncMemoryStore final : public AsyncStore {
 public:
  /// Fault that is injected into calls.
  enum class Fault {
    kNone,
    /// The call has no effect and fails with the verdict `kNotRun`.
    kRefuse,
    /// The call takes effect and fails with the verdict `kMayHaveRun`.
    kLoseAnswer,
    /// The call has no effect and fails with the verdict `kMayHaveRun`.
    kLoseCall,
  };

  void SetFault(Fault fault) { fault_ = fault; }
  /// Injects a fault into the next read or listing whose key or prefix starts
  /// with `prefix`.
  void FailNextRead(const std::string& prefix, Fault fault) {
    next_faults_.push_back({"read " + prefix, fault});
  }
  /// Injects a fault into the next commit whose first written key starts with
  /// `prefix`.
  void FailNextCommit(const std::string& prefix, Fault fault) {
    next_faults_.push_back({"commit " + prefix, fault});
  }
  /// Calls the callbacks of all queued responses, including responses to calls
  /// made by these callbacks.
  void Deliver();
  /// Drops all queued responses and waiting watches, as if the calling process
  /// had ended. Their callbacks are never called.
  void Disconnect() {
    waiting_watches_.clear();
    answers_.clear();
  }
  /// Ends a lease and removes the keys that are bound to it.
  void ExpireLease(StoreLeaseId lease);
  /// Drops the history of changes. Watches from an earlier index fail with
  /// `kStale`.
  void CompactHistory();
  /// Writes a key immediately, like another client and regardless of the fault.
  void Write(const std::string& key, const std::string& value,
             StoreLeaseId lease = StoreLeaseId());
  void Erase(const std::string& key);

  const std::map<std::string, KeyValue>& items() const { return items_; }
  std::size_t calls() const { return calls_; }

  void Get(const std::string& key, Done<std::optional<KeyValue>> done) override;
  void List(const std::string& prefix, Done<StoreListing> done) override;
  void Watch(const std::string& prefix, StoreIndex after, milliseconds wait,
             Done<StoreChanges> done) override;
  void Commit(StoreTransaction transaction, Done<StoreOutcome> done) override;
  void GrantLease(milliseconds time_to_live, Done<StoreLease> done) override;
  void RenewLease(StoreLeaseId lease, Done<StoreLease> done) override;
  void EndLease(StoreLeaseId lease, Done<std::monostate> done) override;

 private:
  struct WaitingWatch {
    std::string prefix;
    StoreIndex after;
    Done<StoreChanges> done;
  };

  /// A fault of the next call whose subject starts with the prefix.
  struct NextFault {
    std::string prefix;
    Fault fault = Fault::kNone;
  };

  /// Runs `apply` unless a fault prevents it, and queues a call of `done` with
  /// the result or the failure. `subject` is the kind of the call and its key;
  /// empty for calls on leases.
  template <typename T>
  void QueueAnswer(const std::string& subject, std::function<Result<T>()> apply,
                   Done<T> done);
  /// Returns the fault of a call with this subject.
  Fault TakeFault(const std::string& subject);
  void RecordChange(StoreChange change);
  void AnswerWatches();

  Fault fault_ = Fault::kNone;
  std::vector<NextFault> next_faults_;
  std::map<std::string, KeyValue> items_;
  std::map<std::string, StoreLeaseId> key_leases_;
  std::set<StoreLeaseId> leases_;
  std::vector<StoreChange> history_;
  std::vector<WaitingWatch> waiting_watches_;
  std::deque<std::function<void()>> answers_;
  std::uint64_t index_ = 100;
  std::uint64_t compacted_index_ = 0;
  std::uint64_t next_lease_ = 1;
  std::size_t calls_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_ASYNC_MEMORY_STORE_H_
