#ifndef BRIARSPREAD_CORE_KEY_VALUE_STORE_H_
#define BRIARSPREAD_CORE_KEY_VALUE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// One key of the platform's key-value service.
struct KeyValue {
  /// The key.
  std::string key;
  /// Its value; at most `kMaxStoreValueBytes`.
  std::string value;
  /// The store's index of the key's last change.
  StoreIndex index;
};

/// The largest value that the platform's service holds, in bytes.
inline constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

/// What a compare-and-swap did.
enum class SwapOutcome {
  /// The write took effect.
  kSwapped,
  /// The key's index was another; nothing was written.
  kConflict,
};

/// The platform's key-value service. Errors carry `kNotRun` where a write
/// certainly had no effect, and `kMayHaveRun` where its answer was lost.
/// Implementations are safe to call from any thread. Every call, a waiting
/// watch included, counts against the service's rates.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  /// The key's value, or nothing where it is absent.
  virtual Result<std::optional<KeyValue>> Get(const std::string& key) = 0;

  /// All keys that start with `prefix`, in order.
  virtual Result<std::vector<KeyValue>> List(const std::string& prefix) = 0;

  /// Writes `value` if the key's index is `expected`; zero means absent.
  virtual Result<SwapOutcome> CompareAndSwap(const std::string& key,
                                             const std::string& value,
                                             StoreIndex expected) = 0;

  /// Deletes the key if its index is `expected`.
  virtual Result<SwapOutcome> Delete(const std::string& key,
                                     StoreIndex expected) = 0;

  /// Waits up to `wait` until the key's index is above `after`, then returns
  /// the key as `Get` does. Returns early or late changes alike; a caller must
  /// compare the index.
  virtual Result<std::optional<KeyValue>> Watch(const std::string& key,
                                                StoreIndex after,
                                                milliseconds wait) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_KEY_VALUE_STORE_H_
