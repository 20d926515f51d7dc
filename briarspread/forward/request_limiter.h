#ifndef BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_
#define BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_

#include <string>
#include <string_view>

#include "briarspread/forward/upstream_limits.h"

namespace briarspread::forward {

/// What a request to an upstream is for.
enum class RequestPurpose {
  /// A caller's request, or a reward call.
  kLive,
  /// An item of a batch job.
  kItem,
  /// A report or an order that concerns the engine itself.
  kControl,
};

/// Returns the name of a purpose for logs and metrics. Thread-safe.
std::string_view ToString(RequestPurpose purpose);

/// Tracks the limits that upstreams name, and the requests that this instance
/// sends to them. Must be used on the event loop's thread only.
class RequestLimiter final {
 public:
  /// Precondition: `clock` outlives this object.
  explicit RequestLimiter(const Clock& clock)
      : limits_(UpstreamLimitsSettings{}, clock) {}

  /// Records a response of `start` to a request sent at `sent`. `named` is the
  /// text of the limit that it names; null if it names none.
  void RecordResponse(const UpstreamStart& start, const std::string* named,
                      TimePoint sent);
  /// Records that a request is sent to an upstream now.
  void RecordSend(const UpstreamId& id, RequestPurpose purpose);

  const UpstreamLimits& limits() const { return limits_; }

 private:
  UpstreamLimits limits_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_
