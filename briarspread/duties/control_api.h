#ifndef BRIARSPREAD_DUTIES_CONTROL_API_H_
#define BRIARSPREAD_DUTIES_CONTROL_API_H_

#include <functional>

#include "briarspread/duties/usage_counts.h"

namespace briarspread::duties {

/// Outcome of a report.
enum class ReportOutcome {
  kAcknowledged,
  /// The API has answered that it will never accept this report.
  kRejected,
  /// Not accepted, or the answer was lost; may be sent again.
  kFailed,
};

/// The API that receives the duties of the fleet. Loop's thread only.
class ControlApi {
 public:
  virtual ~ControlApi() = default;
  /// Takes the permit for one call, and returns whether the rate limit allows
  /// it.
  virtual bool TryAdmit() = 0;
  /// Reports the usage in a window. `done` is called exactly once, from the
  /// loop and never from within this call. Precondition: `TryAdmit` returned
  /// true for this call.
  virtual void ReportUsage(const UsageReport& report, FencingNumber fencing,
                           std::function<void(ReportOutcome)> done) = 0;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_CONTROL_API_H_
