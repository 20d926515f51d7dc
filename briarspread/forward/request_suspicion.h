#ifndef BRIARSPREAD_FORWARD_REQUEST_SUSPICION_H_
#define BRIARSPREAD_FORWARD_REQUEST_SUSPICION_H_

#include <functional>
#include <memory>
#include <optional>

#include "briarspread/accounts/account.h"
#include "briarspread/forward/forward_context.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Connects one request with the crash guard: whether it may be sent, its
/// trial, and the evidence that its exchanges give. Must be used on the event
/// loop's thread only.
class RequestSuspicion final {
 public:
  /// `is_judged` is whether the request may be refused at all; if not, nothing
  /// is recorded either. Precondition: `context` outlives this object.
  RequestSuspicion(ForwardContext& context,
                   std::shared_ptr<const proxy::Request> request,
                   std::optional<accounts::AccountId> account, bool is_judged);

  /// Returns whether the next attempt may be sent. A trial allows one attempt
  /// that the upstream may have run.
  SuspectAdmission Decide();
  /// Asks for a trial; `done` may be called from within this call.
  /// Precondition: `Decide` returned `kTryOnce`.
  void RequestTrial(std::function<void(bool is_granted)> done);
  bool is_trial() const { return trial_ != Trial::kNone; }
  /// Returns whether the request is refused now.
  bool IsRefused();
  /// Returns the time until a refused request may be tried, if it may.
  std::optional<Duration> TimeUntilTrial();

  /// Records that an exchange, sent at `sent`, ended without a complete
  /// response although the upstream may have run the request.
  void RecordBrokenExchange(const UpstreamStart& upstream, TimePoint sent);
  /// Records a complete response of this status, which does not state that the
  /// request was not run. It is an answer only if it tells that it was.
  void RecordResponse(int status);

 private:
  enum class Trial { kNone, kGranted, kUsed };

  Fingerprint fingerprint();

  ForwardContext& context_;
  const std::shared_ptr<const proxy::Request> request_;
  const std::optional<accounts::AccountId> account_;
  const bool is_judged_;
  /// Computed when first needed.
  std::optional<Fingerprint> fingerprint_;
  Trial trial_ = Trial::kNone;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_REQUEST_SUSPICION_H_
