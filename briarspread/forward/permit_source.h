#ifndef BRIARSPREAD_FORWARD_PERMIT_SOURCE_H_
#define BRIARSPREAD_FORWARD_PERMIT_SOURCE_H_

#include <functional>

#include "briarspread/forward/upstream_limits.h"

namespace briarspread::forward {

/// Asks for a permit to send one request to a limited upstream.
struct PermitRequest {
  UpstreamStart start;
  RequestRate rate;
  /// Maximum time until the request may be sent.
  milliseconds max_wait{0};
};

struct PermitOutcome {
  /// Whether one request may be sent now.
  bool is_granted = false;
  /// If not granted: the time after which to ask again.
  Duration retry_after{0};
};

/// Grants permits such that all instances together keep an upstream's limit.
/// Loop's thread only.
class PermitSource {
 public:
  using Done = std::function<void(const PermitOutcome&)>;

  virtual ~PermitSource() = default;
  /// Calls `done` exactly once, from the loop and never from within this call:
  /// at the moment at which the request may be sent, or once no permit is to be
  /// had.
  virtual void RequestPermit(const PermitRequest& request, Done done) = 0;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_PERMIT_SOURCE_H_
