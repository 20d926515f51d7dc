#include "tests/support/async_memory_store.h"

#include <algorithm>
#include <utility>

#include "briarspread/core/key_value_store.h"

namespace briarspread::testing {
namespace {

Error Failure(Verdict verdict) {
  return Error{ErrorCode::kUnavailable, verdict, "injected fault"};
}

}  // namespace

AsyncMemoryStore::Fault AsyncMemoryStore::TakeFault(
    const std::string& subject) {
  const auto it = std::find_if(next_faults_.begin(), next_faults_.end(),
                               [&subject](const NextFault& next) {
                                 return subject.starts_with(next.prefix);
                               });
  if (it == next_faults_.end()) return fault_;
  const Fault fault = it->fault;
  next_faults_.erase(it);
  return fault;
}

template <typename T>
void AsyncMemoryStore::QueueAnswer(const std::string& subject,
                                   std::function<Result<T>()> apply,
                                   Done<T> done) {
  ++calls_;
  Result<T> result = Failure(Verdict::kNotRun);
  switch (TakeFault(subject)) {
    case Fault::kNone:
      result = apply();
      break;
    case Fault::kRefuse:
      break;
    case Fault::kLoseAnswer:
      apply();
      result = Failure(Verdict::kMayHaveRun);
      break;
    case Fault::kLoseCall:
      result = Failure(Verdict::kMayHaveRun);
      break;
  }
  answers_.push_back(
      [result = std::move(result), done = std::move(done)] { done(result); });
}

void AsyncMemoryStore::Deliver() {
  while (true) {
    AnswerWatches();
    if (answers_.empty()) return;
    const auto answer = std::move(answers_.front());
    answers_.pop_front();
    answer();
  }
}

void AsyncMemoryStore::AnswerWatches() {
  std::vector<WaitingWatch> remaining;
  for (WaitingWatch& watch : waiting_watches_) {
    if (watch.after.value() < compacted_index_) {
      answers_.push_back([done = std::move(watch.done)] {
        done(Error{ErrorCode::kStale, Verdict::kNotRun, "forgotten"});
      });
      continue;
    }
    StoreChanges changes;
    changes.store_index = StoreIndex(index_);
    for (const StoreChange& change : history_) {
      if (change.index > watch.after && change.key.starts_with(watch.prefix)) {
        changes.changes.push_back(change);
      }
    }
    if (changes.changes.empty()) {
      remaining.push_back(std::move(watch));
      continue;
    }
    answers_.push_back(
        [changes, done = std::move(watch.done)] { done(changes); });
  }
  waiting_watches_ = std::move(remaining);
}

void AsyncMemoryStore::RecordChange(StoreChange change) {
  history_.push_back(std::move(change));
}

void AsyncMemoryStore::Write(const std::string& key, const std::string& value,
                             StoreLeaseId lease) {
  const StoreIndex index(++index_);
  items_[key] = KeyValue{key, value, index};
  key_leases_[key] = lease;
  RecordChange(StoreChange{key, index, value});
}

void AsyncMemoryStore::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  key_leases_.erase(key);
  RecordChange(StoreChange{key, StoreIndex(++index_), std::nullopt});
}

void AsyncMemoryStore::ExpireLease(StoreLeaseId lease) {
  leases_.erase(lease);
  std::vector<std::string> expired;
  for (const auto& [key, of] : key_leases_) {
    if (of == lease) expired.push_back(key);
  }
  for (const std::string& key : expired) Erase(key);
}

void AsyncMemoryStore::CompactHistory() {
  history_.clear();
  compacted_index_ = ++index_;
}

void AsyncMemoryStore::Get(const std::string& key,
                           Done<std::optional<KeyValue>> done) {
  QueueAnswer<std::optional<KeyValue>>(
      "read " + key,
      [this, key]() -> Result<std::optional<KeyValue>> {
        const auto it = items_.find(key);
        if (it == items_.end()) return std::optional<KeyValue>();
        return std::optional<KeyValue>(it->second);
      },
      std::move(done));
}

void AsyncMemoryStore::List(const std::string& prefix,
                            Done<StoreListing> done) {
  QueueAnswer<StoreListing>(
      "read " + prefix,
      [this, prefix]() -> Result<StoreListing> {
        StoreListing listing;
        listing.store_index = StoreIndex(index_);
        for (const auto& [key, item] : items_) {
          if (key.starts_with(prefix)) listing.items.push_back(item);
        }
        return listing;
      },
      std::move(done));
}

void AsyncMemoryStore::Watch(const std::string& prefix, StoreIndex after,
                             milliseconds, Done<StoreChanges> done) {
  if (fault_ == Fault::kNone) {
    ++calls_;
    waiting_watches_.push_back({prefix, after, std::move(done)});
    return;
  }
  QueueAnswer<StoreChanges>(
      "watch " + prefix,
      []() -> Result<StoreChanges> { return StoreChanges{}; }, std::move(done));
}

void AsyncMemoryStore::Commit(StoreTransaction transaction,
                              Done<StoreOutcome> done) {
  const std::string key =
      transaction.writes.empty() ? "" : transaction.writes.front().key;
  QueueAnswer<StoreOutcome>(
      "commit " + key,
      [this, transaction]() -> Result<StoreOutcome> {
        for (const auto& write : transaction.writes) {
          if (write.value.size() > kMaxStoreValueBytes) {
            return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                         "value of " + write.key + " is too large"};
          }
        }
        StoreConflict conflict;
        bool holds = true;
        for (const auto& condition : transaction.conditions) {
          const auto it = items_.find(condition.key);
          const StoreIndex index =
              it == items_.end() ? StoreIndex(0) : it->second.index;
          holds = holds && index == condition.index;
          conflict.current.push_back(
              it == items_.end() ? KeyValue{condition.key, "", StoreIndex(0)}
                                 : it->second);
        }
        if (!holds) return StoreOutcome(conflict);
        for (const auto& write : transaction.writes) {
          Write(write.key, write.value, write.lease);
        }
        for (const std::string& key : transaction.removals) Erase(key);
        return StoreOutcome(StoreCommitted{StoreIndex(index_)});
      },
      std::move(done));
}

void AsyncMemoryStore::GrantLease(milliseconds time_to_live,
                                  Done<StoreLease> done) {
  QueueAnswer<StoreLease>(
      "",
      [this, time_to_live]() -> Result<StoreLease> {
        const StoreLeaseId lease(next_lease_++);
        leases_.insert(lease);
        return StoreLease{lease, time_to_live};
      },
      std::move(done));
}

void AsyncMemoryStore::RenewLease(StoreLeaseId lease, Done<StoreLease> done) {
  QueueAnswer<StoreLease>(
      "",
      [this, lease]() -> Result<StoreLease> {
        if (!leases_.contains(lease)) {
          return Error{ErrorCode::kNotFound, Verdict::kNotRun, "ended"};
        }
        return StoreLease{lease, milliseconds(1000)};
      },
      std::move(done));
}

void AsyncMemoryStore::EndLease(StoreLeaseId lease, Done<std::monostate> done) {
  QueueAnswer<std::monostate>(
      "",
      [this, lease]() -> Result<std::monostate> {
        ExpireLease(lease);
        return OkStatus();
      },
      std::move(done));
}

}  // namespace briarspread::testing
