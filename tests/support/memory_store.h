#ifndef TESTS_SUPPORT_MEMORY_STORE_H_
#define TESTS_SUPPORT_MEMORY_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "briarspread/core/key_value_store.h"

namespace briarspread::testing {

/// An in-memory key-value store that can inject outages and responses that are
/// lost after a write took effect. `Watch` returns immediately. Thread-safe.
class MemoryStore final : public KeyValueStore {
 public:
  Result<std::optional<KeyValue>> Get(const std::string& key) override;
  Result<std::vector<KeyValue>> List(const std::string& prefix) override;
  Result<SwapOutcome> CompareAndSwap(const std::string& key,
                                     const std::string& value,
                                     StoreIndex expected) override;
  Result<SwapOutcome> Delete(const std::string& key,
                             StoreIndex expected) override;
  Result<std::optional<KeyValue>> Watch(const std::string& key,
                                        StoreIndex after,
                                        milliseconds wait) override;

  /// Starts or ends an outage. During an outage every call fails without
  /// effect.
  void SetOutage(bool out);
  /// Makes the next `n` writes and deletions fail with the verdict
  /// `kMayHaveRun` after taking effect.
  void LoseWriteAnswers(int n);
  /// Number of calls so far, including those that failed.
  std::uint64_t calls() const;
  /// Number of writes and deletions that took effect so far.
  std::uint64_t writes() const;

 private:
  Error Unavailable(Verdict verdict) const;
  bool ConsumeLostAnswer();

  /// Guards the members below.
  mutable std::mutex mutex_;
  std::map<std::string, KeyValue> values_;
  /// Index of the last change.
  std::uint64_t last_index_ = 0;
  /// Whether an outage is active.
  bool is_out_ = false;
  /// Number of writes and deletions whose response is still to be lost.
  int lost_answers_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_MEMORY_STORE_H_
