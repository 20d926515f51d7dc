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
  std::string key;
  /// At most `kMaxStoreValueBytes` bytes.
  std::string value;
  /// The store's index of the key's last change.
  StoreIndex index;
};

/// Maximum size of a value, in bytes, that the platform's service accepts.
inline constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

/// Outcome of a compare-and-swap or conditional deletion.
enum class SwapOutcome {
  /// The write took effect.
  kSwapped,
  /// The key's index differed from the expected one; nothing was written.
  kConflict,
};

/// Blocking client interface of the platform's key-value service. The verdict
/// of an error is `kNotRun` if a write certainly had no effect, and
/// `kMayHaveRun` if its answer was lost. Implementations are thread-safe. Every
/// call, including a waiting watch, counts against the service's rate limits.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  /// Returns the key's value, or nullopt if it is absent.
  virtual Result<std::optional<KeyValue>> Get(const std::string& key) = 0;

  /// Returns all keys that start with `prefix`, in order.
  virtual Result<std::vector<KeyValue>> List(const std::string& prefix) = 0;

  /// Writes `value` if the key's index equals `expected`. Zero requires the key
  /// to be absent.
  virtual Result<SwapOutcome> CompareAndSwap(const std::string& key,
                                             const std::string& value,
                                             StoreIndex expected) = 0;

  /// Deletes the key if its index equals `expected`.
  virtual Result<SwapOutcome> Delete(const std::string& key,
                                     StoreIndex expected) = 0;

  /// Waits up to `wait` until the key's index is above `after`, then returns
  /// the key's value, or nullopt if it is absent. May also return without a
  /// change, so callers must compare the index.
  virtual Result<std::optional<KeyValue>> Watch(const std::string& key,
                                                StoreIndex after,
                                                milliseconds wait) = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_KEY_VALUE_STORE_H_
