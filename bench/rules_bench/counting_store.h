#ifndef BENCH_RULES_BENCH_COUNTING_STORE_H_
#define BENCH_RULES_BENCH_COUNTING_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarspread/core/key_value_store.h"

namespace briarspread::bench {

/// An in-memory store that counts calls and bytes. Not thread-safe.
class CountingStore final : public KeyValueStore {
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

  /// Number of reads so far.
  std::uint64_t reads = 0;
  /// Number of writes and deletions so far.
  std::uint64_t writes = 0;
  /// Total size of the values read so far, in bytes.
  std::uint64_t bytes_read = 0;
  /// Total size of the values written so far, in bytes.
  std::uint64_t bytes_written = 0;

 private:
  /// The stored values by key.
  std::map<std::string, KeyValue> values_;
  /// The store index of the last change.
  std::uint64_t last_index_ = 0;
};

}  // namespace briarspread::bench

#endif  // BENCH_RULES_BENCH_COUNTING_STORE_H_
