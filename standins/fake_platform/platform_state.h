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

/// Faults of the platform, switched by `POST /fault`.
struct PlatformFaults {
  /// Whether the key-value service answers nothing but 500.
  bool outage = false;
  /// Delay of each key-value call.
  milliseconds delay{0};
  /// Writes that take effect and whose answers are lost.
  int lose_write_answers = 0;
  /// How late the instance list shows a change.
  milliseconds list_lag{0};
};

/// Counts that tests and benchmarks read at `GET /counts`.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
  /// Bytes of weights sent, by region.
  std::map<std::string, std::uint64_t> weight_bytes;
};

/// One key of the key-value service.
struct StoredKey {
  std::string value_base64;
  std::uint64_t create_index = 0;
  std::uint64_t modify_index = 0;
};

/// The stand-in platform's state: keys, catalog, counts, faults. Thread-safe.
class PlatformState {
 public:
  /// The key, or nothing; waits until its index passes `after` or `wait` ends.
  std::optional<StoredKey> Wait(const std::string& key, std::uint64_t after,
                                milliseconds wait);
  /// All keys with a prefix.
  std::map<std::string, StoredKey> List(const std::string& prefix);
  /// Writes if `cas` is absent or matches. Returns whether it wrote.
  bool Put(const std::string& key, const std::string& value_base64,
           std::optional<std::uint64_t> cas);
  /// Deletes if `cas` is absent or matches. Returns whether it deleted.
  bool Delete(const std::string& key, std::optional<std::uint64_t> cas);

  /// Adds or replaces a row of the catalog.
  void Register(const nlohmann::json& row);
  /// Sets a row's state, `live` or `leaving`; false where there is no such row.
  bool SetInstanceState(const std::string& id, const std::string& state);
  /// Removes a row.
  void Deregister(const std::string& id);
  /// The catalog as the lag lets it be seen.
  nlohmann::json Catalog();

  PlatformFaults faults();
  void SetFaults(const PlatformFaults& faults);
  /// Takes one lost answer, if any is due.
  bool TakeLostAnswer();

  enum class CallKind { kRead, kWrite, kWatch };
  /// Counts a call; false where the second's rate is spent.
  bool Admit(CallKind kind);
  /// Sets the rates; zero means no limit.
  void SetRates(std::uint64_t reads_per_second,
                std::uint64_t writes_per_second);
  void CountWeightBytes(const std::string& region, std::uint64_t n);
  PlatformCounts counts();

 private:
  /// The catalog at one time.
  struct CatalogView {
    TimePoint since;
    std::map<std::string, nlohmann::json> rows;
  };
  void PushView(std::map<std::string, nlohmann::json> rows);
  const CatalogView* VisibleView(TimePoint now) const;

  /// Guards all below.
  std::mutex mutex_;
  /// Wakes watches.
  std::condition_variable changed_;
  std::map<std::string, StoredKey> keys_;
  std::uint64_t last_index_ = 0;
  /// Catalog views, oldest first; the last is the truth.
  std::deque<CatalogView> views_;
  PlatformFaults faults_;
  PlatformCounts counts_;
  std::uint64_t reads_per_second_ = 0;
  std::uint64_t writes_per_second_ = 0;
  /// The second that the two counts below belong to.
  std::int64_t current_second_ = 0;
  std::uint64_t reads_this_second_ = 0;
  std::uint64_t writes_this_second_ = 0;
};

}  // namespace briarspread::standins

#endif  // STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_
