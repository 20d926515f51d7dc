#ifndef TESTS_RULES_HOOKED_STORE_H_
#define TESTS_RULES_HOOKED_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "briarspread/core/key_value_store.h"

namespace briarspread::testing {

/// Forwards calls to another store and runs hooks that a test sets, for example
/// to write between a caller's read and its write or to replace the result of a
/// read.
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

  /// Called before each write with its key; may be empty.
  std::function<void(const std::string&)> before_write;
  /// Called after each read or watch; may replace the result. May be empty.
  std::function<void(Result<std::optional<KeyValue>>&)> on_read;

 private:
  /// The store to which calls are forwarded.
  KeyValueStore& store_;
};

}  // namespace briarspread::testing

#endif  // TESTS_RULES_HOOKED_STORE_H_
