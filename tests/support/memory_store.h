#ifndef TESTS_SUPPORT_MEMORY_STORE_H_
#define TESTS_SUPPORT_MEMORY_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "briarspread/core/key_value_store.h"

namespace briarspread::testing {

/// A key-value store in memory with the faults of the brief: outages, and
/// answers lost after a write took effect. `Watch` never waits. Thread-safe.
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

  /// Starts or ends an outage: every call fails without effect.
  void SetOutage(bool out);
  /// Makes the next `n` writes take effect and lose their answers.
  void LoseWriteAnswers(int n);
  /// Calls served or refused so far.
  std::uint64_t calls() const;
  /// Writes that took effect so far.
  std::uint64_t writes() const;

 private:
  Error Unavailable(Verdict verdict) const;
  bool TakeLostAnswer();

  /// Guards all below.
  mutable std::mutex mutex_;
  /// The keys.
  std::map<std::string, KeyValue> values_;
  /// The index of the last change.
  std::uint64_t last_index_ = 0;
  /// Whether the store is out.
  bool out_ = false;
  /// Writes still to lose their answers.
  int lost_answers_ = 0;
  /// Calls so far.
  std::uint64_t calls_ = 0;
  /// Writes so far.
  std::uint64_t writes_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_MEMORY_STORE_H_
