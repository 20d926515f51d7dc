#ifndef TESTS_RULES_HOOKED_STORE_H_
#define TESTS_RULES_HOOKED_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "briarspread/core/key_value_store.h"

namespace briarspread::testing {

/// Passes calls on, and runs hooks that a test sets: what happens between a
/// caller's read and its write, and what becomes of a read.
class HookedStore final : public KeyValueStore {
 public:
  /// Precondition: `store` outlives this object.
  explicit HookedStore(KeyValueStore& store) : store_(store) {}

  Result<std::optional<KeyValue>> Get(const std::string& key) override {
    auto read = store_.Get(key);
    if (on_read) on_read(read);
    return read;
  }
  Result<std::vector<KeyValue>> List(const std::string& prefix) override {
    return store_.List(prefix);
  }
  Result<SwapOutcome> CompareAndSwap(const std::string& key,
                                     const std::string& value,
                                     StoreIndex expected) override {
    if (before_write) before_write(key);
    return store_.CompareAndSwap(key, value, expected);
  }
  Result<SwapOutcome> Delete(const std::string& key,
                             StoreIndex expected) override {
    return store_.Delete(key, expected);
  }
  Result<std::optional<KeyValue>> Watch(const std::string& key,
                                        StoreIndex after,
                                        milliseconds wait) override {
    auto read = store_.Watch(key, after, wait);
    if (on_read) on_read(read);
    return read;
  }

  /// Runs before each write, with its key.
  std::function<void(const std::string&)> before_write;
  /// May replace what a read or watch returns.
  std::function<void(Result<std::optional<KeyValue>>&)> on_read;

 private:
  /// Where calls go.
  KeyValueStore& store_;
};

}  // namespace briarspread::testing

#endif  // TESTS_RULES_HOOKED_STORE_H_
