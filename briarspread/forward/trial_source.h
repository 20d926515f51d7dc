#ifndef BRIARSPREAD_FORWARD_TRIAL_SOURCE_H_
#define BRIARSPREAD_FORWARD_TRIAL_SOURCE_H_

#include <functional>

#include "briarspread/core/ids.h"

namespace briarspread::forward {

/// Grants trials of requests that are refused because upstreams ended with them
/// in flight. Must be used on the event loop's thread only.
class TrialSource {
 public:
  using Done = std::function<void(bool is_granted)>;

  virtual ~TrialSource() = default;
  /// Asks to send the request once. Calls `done` once, possibly from within
  /// this call; with false also if the granting instance can't be asked.
  virtual void RequestTrial(Fingerprint request, Done done) = 0;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_TRIAL_SOURCE_H_
