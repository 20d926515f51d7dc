#ifndef BRIARSPREAD_ROUTING_LOAD_VIEW_H_
#define BRIARSPREAD_ROUTING_LOAD_VIEW_H_

#include <cstdint>

#include "briarspread/core/clock.h"

namespace briarspread {

struct UpstreamCounters;
struct UpstreamView;

/// An upstream's load as best known now: its lagging report, plus the own
/// requests that started since, minus the own ones that ended. Thread-safe;
/// short-lived, as it refers to the view.
class LoadView {
 public:
  /// Precondition: `upstream` outlives this object and has counters.
  explicit LoadView(const UpstreamView& upstream) : upstream_(upstream) {}

  /// Requests that run or wait there, all instances' together.
  std::uint32_t InFlight() const;
  /// `InFlight` as a fraction of the slots; above 1 where requests wait.
  double Fraction() const;
  /// How long a request sent now waits for a slot; zero where one is free.
  Duration ExpectedWait() const;
  /// Requests that can run at once.
  std::uint32_t Slots() const;

 private:
  /// The upstream.
  const UpstreamView& upstream_;
};

/// Adds the time that one exchange took to the moving average that
/// `LoadView::ExpectedWait` uses. Thread-safe, lock-free.
void RecordServiceTime(UpstreamCounters& counters, Duration taken);

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_LOAD_VIEW_H_
