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

/// A store in memory. Answers wait until `Deliver`; faults are set for the
/// calls that follow. One thread.
class AsyncMemoryStore final : public AsyncStore {
 public:
  /// What happens to the calls that follow.
  enum class Fault {
    kNone,
    /// Nothing is done, and the caller is told so.
    kRefuse,
    /// The call takes effect; its answer is lost.
    kLoseAnswer,
    /// The call never arrives; its caller cannot know.
    kLoseCall,
  };

  void SetFault(Fault fault) { fault_ = fault; }
  /// Gives all answers that are ready, and those that they lead to.
  void Deliver();
  /// Forgets all callers: those of a process that is over hear nothing more.
  void Disconnect() {
    waiting_.clear();
    answers_.clear();
  }
  /// Ends a lease, and removes its keys.
  void ExpireLease(StoreLeaseId lease);
  /// Watches from before now are told that their history is gone.
  void ForgetHistory();
  /// Writes a key as another client would.
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
  struct Waiting {
    std::string prefix;
    StoreIndex after;
    Done<StoreChanges> done;
  };

  /// Runs `apply` as the fault allows, and queues `done` with what it gave.
  template <typename T>
  void Answer(std::function<Result<T>()> apply, Done<T> done);
  void Note(StoreChange change);
  void ServeWatches();

  Fault fault_ = Fault::kNone;
  std::map<std::string, KeyValue> items_;
  std::map<std::string, StoreLeaseId> lease_of_;
  std::set<StoreLeaseId> leases_;
  std::vector<StoreChange> history_;
  std::vector<Waiting> waiting_;
  std::deque<std::function<void()>> answers_;
  std::uint64_t index_ = 100;
  std::uint64_t forgotten_ = 0;
  std::uint64_t next_lease_ = 1;
  std::size_t calls_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_ASYNC_MEMORY_STORE_H_
