#include "tests/support/memory_store.h"

namespace briarspread::testing {

Error MemoryStore::Unavailable(Verdict verdict) const {
  return Error{ErrorCode::kUnavailable, verdict, "the store did not answer"};
}

bool MemoryStore::ConsumeLostAnswer() {
  if (lost_answers_ == 0) return false;
  --lost_answers_;
  return true;
}

Result<std::optional<KeyValue>> MemoryStore::Get(const std::string& key) {
  std::lock_guard lock(mutex_);
  ++calls_;
  if (is_out_) return Unavailable(Verdict::kNotRun);
  const auto it = values_.find(key);
  if (it == values_.end()) return std::optional<KeyValue>{};
  return std::optional<KeyValue>(it->second);
}

Result<std::vector<KeyValue>> MemoryStore::List(const std::string& prefix) {
  std::lock_guard lock(mutex_);
  ++calls_;
  if (is_out_) return Unavailable(Verdict::kNotRun);
  std::vector<KeyValue> found;
  for (auto it = values_.lower_bound(prefix); it != values_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    found.push_back(it->second);
  }
  return found;
}

Result<SwapOutcome> MemoryStore::CompareAndSwap(const std::string& key,
                                                const std::string& value,
                                                StoreIndex expected) {
  std::lock_guard lock(mutex_);
  ++calls_;
  if (is_out_) return Unavailable(Verdict::kNotRun);
  const auto it = values_.find(key);
  const StoreIndex current =
      it == values_.end() ? StoreIndex(0) : it->second.index;
  const bool swap = current == expected;
  if (swap) {
    values_[key] = KeyValue{key, value, StoreIndex(++last_index_)};
    ++writes_;
  }
  if (ConsumeLostAnswer()) return Unavailable(Verdict::kMayHaveRun);
  return swap ? SwapOutcome::kSwapped : SwapOutcome::kConflict;
}

Result<SwapOutcome> MemoryStore::Delete(const std::string& key,
                                        StoreIndex expected) {
  std::lock_guard lock(mutex_);
  ++calls_;
  if (is_out_) return Unavailable(Verdict::kNotRun);
  const auto it = values_.find(key);
  const bool swap = it != values_.end() && it->second.index == expected;
  if (swap) {
    values_.erase(it);
    ++last_index_;
    ++writes_;
  }
  if (ConsumeLostAnswer()) return Unavailable(Verdict::kMayHaveRun);
  return swap ? SwapOutcome::kSwapped : SwapOutcome::kConflict;
}

Result<std::optional<KeyValue>> MemoryStore::Watch(const std::string& key,
                                                   StoreIndex /*after*/,
                                                   milliseconds /*wait*/) {
  return Get(key);
}

void MemoryStore::SetOutage(bool out) {
  std::lock_guard lock(mutex_);
  is_out_ = out;
}

void MemoryStore::LoseWriteAnswers(int n) {
  std::lock_guard lock(mutex_);
  lost_answers_ = n;
}

std::uint64_t MemoryStore::calls() const {
  std::lock_guard lock(mutex_);
  return calls_;
}

std::uint64_t MemoryStore::writes() const {
  std::lock_guard lock(mutex_);
  return writes_;
}

}  // namespace briarspread::testing
