#ifndef BRIARSPREAD_ROUTING_REFUSAL_WATCH_H_
#define BRIARSPREAD_ROUTING_REFUSAL_WATCH_H_

#include <map>
#include <memory>
#include <mutex>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/routing/routing_table.h"

namespace briarspread {

/// One read of an upstream's health.
struct HealthRead {
  /// When it was sent.
  TimePoint started{};
  /// Whether the upstream answered that it takes work.
  bool accepts_work = false;
};

/// How long a refusal counts.
struct RefusalWatchSettings {
  /// How long a refused request keeps new work away, whatever the health reads
  /// say; doubled by each refusal after such a time.
  Duration first_hold = std::chrono::seconds(10);
  /// The longest such time.
  Duration longest_hold = std::chrono::minutes(10);
};

/// Learns from the upstreams themselves that they leave or take no work, ahead
/// of the instance list, which lags: one refused request or one failed health
/// read is enough. Writes `UpstreamCounters::refuses_work`. Thread-safe; called
/// for refusals and health reads only, not on the path of other requests.
class RefusalWatch {
 public:
  explicit RefusalWatch(const RefusalWatchSettings& settings);

  /// The upstream refused a request because it takes no work.
  void OnRefusal(const UpstreamId& upstream, UpstreamCounters& counters,
                 TimePoint now);
  /// A health read has ended. A good one lets the upstream back in if it began
  /// after the last refusal and the hold is over.
  void OnHealthRead(const UpstreamId& upstream, UpstreamCounters& counters,
                    const HealthRead& read, TimePoint now);
  /// Drops what is known of an upstream that the list no longer names.
  void Forget(const UpstreamId& upstream);

 private:
  /// What is known of one upstream that refused.
  struct Refusal {
    TimePoint last{};
    TimePoint hold_until{};
    Duration next_hold{};
  };

  const RefusalWatchSettings settings_;
  /// Guards `refusals_`.
  std::mutex mutex_;
  /// Upstreams that refused a request since they were first listed.
  std::map<UpstreamId, Refusal> refusals_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_REFUSAL_WATCH_H_
