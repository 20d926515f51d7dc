#ifndef STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_
#define STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::standins {

/// Injected faults of the platform, set by `POST /fault`.
struct PlatformFaults {
  /// Whether the key-value service responds to every call with status 500.
  bool outage = false;
  /// Delay added to each key-value call.
  milliseconds delay{0};
  /// Number of writes still to take effect and then be answered with status
  /// 500.
  int lose_write_answers = 0;
  /// Time after which a change becomes visible in the instance list.
  milliseconds list_lag{0};
};

/// Call counts that tests and benchmarks read through `GET /counts`.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
  /// Bytes of weights sent, by region of the receiver.
  std::map<std::string, std::uint64_t> weight_bytes;
};

/// The value and indexes of one key of the key-value service.
struct StoredKey {
  std::string value_base64;
  std::uint64_t create_index = 0;
  std::uint64_t modify_index = 0;
};

/// State of the stand-in platform: keys, instance list, call counts and
/// injected faults. Thread-safe.
class PlatformState {
 public:
  /// Blocks until the key's modify index is greater than `after` or `wait` has
  /// passed, then returns the key. Returns nothing if the key does not exist.
  std::optional<StoredKey> WaitForKey(const std::string& key,
                                      std::uint64_t after, milliseconds wait);
  /// Returns all keys that start with `prefix`.
  std::map<std::string, StoredKey> List(const std::string& prefix);
  /// Writes the value if `cas` is absent or equals the key's modify index (0
  /// for a key that does not exist). Returns whether the value was written.
  bool Put(const std::string& key, const std::string& value_base64,
           std::optional<std::uint64_t> cas);
  /// Deletes the key if `cas` is absent or equals the key's modify index.
  /// Returns false on a mismatch. A key that does not exist gives true without
  /// `cas` and false with it.
  bool Delete(const std::string& key, std::optional<std::uint64_t> cas);

  /// Adds or replaces a row of the instance list.
  void Register(const nlohmann::json& row);
  /// Sets the state of a row to `live` or `leaving`. Returns false if the row
  /// does not exist.
  bool SetInstanceState(const std::string& id, const std::string& state);
  /// Removes a row of the instance list.
  void Deregister(const std::string& id);
  /// Returns the rows of the instance list as of `list_lag` ago.
  nlohmann::json Catalog();

  PlatformFaults faults();
  void SetFaults(const PlatformFaults& faults);
  /// Returns whether the response to the current write must be lost, and
  /// decrements the number of responses still to be lost.
  bool ConsumeLostAnswer();

  enum class CallKind { kRead, kWrite, kWatch };
  /// Counts a call. Returns false if the rate limit of the current second is
  /// reached. Watches share the limit of reads.
  bool Admit(CallKind kind);
  /// Sets the rate limits; 0 means no limit.
  void SetRates(std::uint64_t reads_per_second,
                std::uint64_t writes_per_second);
  void CountWeightBytes(const std::string& region, std::uint64_t n);
  PlatformCounts counts();

 private:
  /// The instance list from a point in time on.
  struct CatalogView {
    TimePoint since;
    std::map<std::string, nlohmann::json> rows;
  };
  void PushView(std::map<std::string, nlohmann::json> rows);
  const CatalogView* VisibleView(TimePoint now) const;

  /// Guards the members below.
  std::mutex mutex_;
  /// Notified when a key changes.
  std::condition_variable changed_;
  std::map<std::string, StoredKey> keys_;
  std::uint64_t last_index_ = 0;
  /// Versions of the instance list, oldest first. The last one is current;
  /// earlier ones are kept as long as the lag makes them visible.
  std::deque<CatalogView> views_;
  PlatformFaults faults_;
  PlatformCounts counts_;
  std::uint64_t reads_per_second_ = 0;
  std::uint64_t writes_per_second_ = 0;
  /// Second of the steady clock to which the two counts below belong.
  std::int64_t current_second_ = 0;
  std::uint64_t reads_this_second_ = 0;
  std::uint64_t writes_this_second_ = 0;
};

}  // namespace briarspread::standins

#endif  // STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_
