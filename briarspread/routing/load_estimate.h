#ifndef BRIARSPREAD_ROUTING_LOAD_ESTIMATE_H_
#define BRIARSPREAD_ROUTING_LOAD_ESTIMATE_H_

#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread {

struct UpstreamCounters;
struct UpstreamView;

/// Estimates the current load of an upstream: the load in its last report,
/// which lags, plus the change in this instance's requests in flight since that
/// report, multiplied by the number of instances that use the upstream
/// (`InstanceShare::count`), because they are assumed to behave alike.
/// Thread-safe. Keeps a reference to the `UpstreamView`.
class LoadEstimate {
 public:
  /// Precondition: `upstream` outlives this object and has counters.
  explicit LoadEstimate(const UpstreamView& upstream) : upstream_(upstream) {}

  /// Estimated number of requests that run or wait at the upstream, from all
  /// instances.
  std::uint32_t InFlight() const;
  /// `InFlight` as a fraction of the slots; above 1 if requests wait.
  double Fraction() const;
  /// Expected time that a request sent at `now` would wait for a slot; zero if
  /// a slot is free.
  Duration ExpectedWait(TimePoint now) const;
  /// Estimated ratio of the time that work takes at `now` to what is usual for
  /// the upstream.
  double Slowness(TimePoint now) const;
  /// Relative measure of the time until a request sent at `now` completes: the
  /// load fraction including that request, times the slowness.
  double CompletionCost(TimePoint now) const;
  /// Number of requests that the upstream can run at the same time; assumed if
  /// it has not been reported.
  std::uint32_t Slots() const;

 private:
  const UpstreamView& upstream_;
};

/// Updates the moving average of service times, which
/// `LoadEstimate::ExpectedWait` uses, with the duration of one exchange during
/// which work took `slowness` times as long as usual. Thread-safe and
/// lock-free. Precondition: `slowness` > 0.
void RecordServiceTime(UpstreamCounters& counters, Duration taken,
                       double slowness = 1.0);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_LOAD_ESTIMATE_H_
