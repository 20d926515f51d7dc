#include "bench/rules_bench/counting_store.h"

namespace briarspread::bench {

Result<std::optional<KeyValue>> CountingStore::Get(const std::string& key) {
  ++reads;
  const auto it = values_.find(key);
  if (it == values_.end()) return std::optional<KeyValue>{};
  bytes_read += it->second.value.size();
  return std::optional<KeyValue>(it->second);
}

Result<std::vector<KeyValue>> CountingStore::List(const std::string& prefix) {
  ++reads;
  std::vector<KeyValue> found;
  for (auto it = values_.lower_bound(prefix); it != values_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    bytes_read += it->second.value.size();
    found.push_back(it->second);
  }
  return found;
}

Result<SwapOutcome> CountingStore::CompareAndSwap(const std::string& key,
                                                  const std::string& value,
                                                  StoreIndex expected) {
  ++writes;
  const auto it = values_.find(key);
  const StoreIndex current =
      it == values_.end() ? StoreIndex(0) : it->second.index;
  if (current != expected) return SwapOutcome::kConflict;
  bytes_written += value.size();
  values_[key] = KeyValue{key, value, StoreIndex(++last_index_)};
  return SwapOutcome::kSwapped;
}

Result<SwapOutcome> CountingStore::Delete(const std::string& key,
                                          StoreIndex expected) {
  ++writes;
  const auto it = values_.find(key);
  const bool match = it != values_.end() && it->second.index == expected;
  if (!match) return SwapOutcome::kConflict;
  values_.erase(it);
  ++last_index_;
  return SwapOutcome::kSwapped;
}

Result<std::optional<KeyValue>> CountingStore::Watch(const std::string& key,
                                                     StoreIndex /*after*/,
                                                     milliseconds /*wait*/) {
  return Get(key);
}

}  // namespace briarspread::bench
