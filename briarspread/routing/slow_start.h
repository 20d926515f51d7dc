#ifndef BRIARSPREAD_ROUTING_SLOW_START_H_
#define BRIARSPREAD_ROUTING_SLOW_START_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "briarspread/core/clock.h"

namespace briarspread {

struct InstanceShare;
struct LoadReport;

/// Returns the share of the instance `names[self]` among the instances that use
/// an upstream, in an order that differs for each upstream. Precondition:
/// `self` < `names.size()`. Thread-safe.
InstanceShare RendezvousShare(std::string_view upstream,
                              std::span<const std::string> names,
                              std::size_t self);

/// Settings of a `SlowStart`.
struct SlowStartSettings {
  /// Divisor of the slots for the initial limit.
  std::uint32_t initial_divisor = 8;
  /// Time in which the limit doubles without any response to this instance, so
  /// that an instance without a share of a low limit gets one.
  milliseconds quiet_doubling{250};
  /// Minimum time between two decreases, so that the responses to requests sent
  /// at the same time decrease the limit once.
  milliseconds decrease_interval{100};
  /// Time after a decrease in which the slow start does not end, and a report
  /// does not raise the limit to what it shows running. Bounds how often an
  /// upstream that keeps refusing enters slow start.
  milliseconds hold_after_decrease{1000};
  /// Factor for the limit on a refusal or a failure.
  double refusal_factor = 0.5;
  /// Factor for the limit when more requests wait or events slow down.
  double queueing_factor = 0.7;
  /// Ratio of the event interval to its minimum that counts as slowing down.
  double interval_ratio = 2.0;
  /// Time after which the slow start ends in any case.
  milliseconds max_duration{10'000};
};

/// Adaptive concurrency limit of one upstream that has just started or
/// recovered. The limit is one for all instances together: each instance
/// estimates it from the responses it gets, and sends its share of it. The
/// share is proportional to the instance's requests among those in the last
/// load report, and at least the equal division of the limit by rank. The limit
/// grows by the number of requests at the upstream for each round of good
/// responses, and decreases on refusals and growing delay. Designed for the
/// restart of an upstream under load that up to several hundred instances see
/// at the same time. Not thread-safe.
class SlowStart final {
 public:
  /// `initial_limit` is the limit to begin with after a refusal; zero for the
  /// settings' part of `slots`. Precondition: `slots` > 0.
  SlowStart(const SlowStartSettings& settings, std::uint32_t slots,
            double initial_limit, TimePoint now);

  /// Returns how many requests of an instance with `share` may be in flight.
  std::uint32_t AllowanceAt(TimePoint now, const InstanceShare& share) const;
  /// Limit for all instances together.
  double LimitAt(TimePoint now) const;

  /// Records a load report, received at `report.received`.
  void OnReport(const LoadReport& report);
  /// Records a response that shows that the upstream did work. `instances` is
  /// the number of instances that use it.
  void OnGoodResponse(std::uint32_t instances, TimePoint now);
  /// Records that the upstream refused a request, or failed.
  void OnRefusal(TimePoint now);
  /// Records the current moving average of the time between events.
  void OnEventInterval(Duration interval, TimePoint now);

  /// Whether the limit has reached the slots, as far as this instance has seen
  /// in responses, or the maximum time has passed.
  bool HasEnded(TimePoint now) const;
  TimePoint began() const { return began_; }

 private:
  void Decrease(double factor, TimePoint now);
  bool IsHeld(TimePoint now) const {
    return now - last_decrease_ < settings_.hold_after_decrease;
  }

  const SlowStartSettings settings_;
  const TimePoint began_;
  std::uint32_t slots_;
  /// Limit at the time of `last_response_`.
  double limit_;
  /// When this instance last got a response; the begin before the first.
  TimePoint last_response_;
  TimePoint last_decrease_{};
  /// Requests at the upstream, those of this instance among them, and those
  /// that waited, by the last report.
  std::uint32_t reported_ = 0;
  std::uint32_t own_at_report_ = 0;
  std::uint32_t queued_ = 0;
  bool has_report_ = false;
  /// Minimum of the event interval since the last decrease; zero if unknown.
  Duration min_interval_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_SLOW_START_H_
