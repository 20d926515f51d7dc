#include "briarspread/forward/request_suspicion.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread::forward {
namespace {

/// Returns whether a response of this status tells that its upstream has run
/// the request to its end.
bool TellsRun(int status) {
  return proxy::IsSuccess(status) || status == 500 ||
         (status >= 300 && status < 500 && !proxy::PromisesNotRun(status));
}

}  // namespace

RequestSuspicion::RequestSuspicion(
    ForwardContext& context, std::shared_ptr<const proxy::Request> request,
    std::optional<accounts::AccountId> account, bool is_judged)
    : context_(context),
      request_(std::move(request)),
      account_(std::move(account)),
      is_judged_(is_judged) {}

Fingerprint RequestSuspicion::fingerprint() {
  if (!fingerprint_.has_value()) {
    fingerprint_ = FingerprintOf(*request_, account_);
  }
  return *fingerprint_;
}

SuspectAdmission RequestSuspicion::Decide() {
  const SuspectTable& table = context_.crash_guard.table();
  if (!is_judged_ || !table.has_suspects()) return SuspectAdmission::kRun;
  if (trial_ == Trial::kGranted) return SuspectAdmission::kRun;
  const SuspectAdmission admission = table.Decide(fingerprint());
  const bool may_try = trial_ == Trial::kNone && context_.trials != nullptr;
  return admission == SuspectAdmission::kTryOnce && !may_try
             ? SuspectAdmission::kRefuse
             : admission;
}

void RequestSuspicion::RequestTrial(std::function<void(bool)> done) {
  context_.trials->RequestTrial(
      fingerprint(), [this, done = std::move(done)](bool is_granted) {
        if (is_granted) {
          trial_ = Trial::kGranted;
          LOG(WARNING) << "event=trial_began fingerprint=" << fingerprint();
        }
        done(is_granted);
      });
}

bool RequestSuspicion::IsRefused() {
  const SuspectTable& table = context_.crash_guard.table();
  return is_judged_ && table.has_suspects() && table.IsRefused(fingerprint());
}

std::optional<Duration> RequestSuspicion::TimeUntilTrial() {
  return context_.crash_guard.table().TimeUntilTrial(fingerprint());
}

void RequestSuspicion::RecordBrokenExchange(const UpstreamStart& upstream,
                                            TimePoint sent) {
  if (!is_judged_) return;
  context_.crash_guard.RecordBrokenExchange(upstream, fingerprint(), sent);
  if (trial_ != Trial::kGranted) return;
  trial_ = Trial::kUsed;
  LOG(WARNING) << "event=trial_ended fingerprint=" << fingerprint()
               << " is_answered=0 upstream=" << upstream.id;
}

void RequestSuspicion::RecordResponse(int status) {
  if (!is_judged_ || !TellsRun(status)) return;
  context_.crash_guard.table().RecordAnswer(fingerprint());
  if (trial_ != Trial::kGranted) return;
  trial_ = Trial::kUsed;
  LOG(WARNING) << "event=trial_ended fingerprint=" << fingerprint()
               << " is_answered=1";
}

}  // namespace briarspread::forward
