#include "briarspread/batch/reward_run.h"

#include <utility>

namespace briarspread::batch {
namespace {

/// Timeout of a reward call whose route sets none.
constexpr milliseconds kDefaultTimeout{4000};
/// Time after the deadline in which the request ends by itself.
constexpr milliseconds kEndMargin{200};

}  // namespace

RewardRun::RewardRun(forward::ForwardContext& context, const RewardCall& call,
                     Done done)
    : context_(context),
      call_(call),
      done_(std::move(done)),
      timer_(context.loop) {}

RewardRun::~RewardRun() {
  if (request_ != nullptr) request_->Cancel();
}

void RewardRun::Start() {
  const forward::RouteLookup lookup = context_.configuration.FindRoute(
      call_.host, proxy::SplitTarget(call_.path).path,
      forward::ConfigurationVersion());
  if (!std::holds_alternative<const forward::Route*>(lookup)) {
    timer_.After(milliseconds(0), [this] { Finish(); });
    return;
  }
  const forward::Route& route = *std::get<const forward::Route*>(lookup);
  outcome_.max_attempts = route.max_attempts;
  forward::LiveRequestSpec spec;
  spec.request.head.method = "POST";
  spec.request.head.target = call_.path;
  spec.request.head.headers.Add("Host", call_.host);
  spec.request.head.headers.Add(context_.headers.attempt_id, call_.id);
  spec.request.body = call_.body;
  // As its item, the call is owed even if upstreams crash under it.
  spec.may_be_suspected = false;
  spec.route = route;
  spec.arrived = context_.clock.Now();
  const milliseconds timeout =
      route.timeout.count() > 0 ? route.timeout : kDefaultTimeout;
  spec.deadline = spec.arrived + timeout;
  request_ =
      std::make_shared<forward::LiveRequest>(context_, std::move(spec), *this);
  // A long response may go on after the deadline as long as bytes arrive.
  timer_.After(timeout + kEndMargin, [this] { Abandon(); });
  request_->Start();
}

void RewardRun::Abandon() {
  request_->Cancel();
  outcome_.score.clear();
  Finish();
}

void RewardRun::TakeScore(const proxy::ResponseHead& head) {
  const std::string* signature = head.headers.Find(context_.headers.signature);
  if (proxy::IsSuccess(head.status) && signature != nullptr) {
    outcome_.score = *signature;
  }
}

void RewardRun::OnResponse(proxy::Response answer) {
  TakeScore(answer.head);
  // The request still uses this object, so `done`, which may destroy it, is
  // called later from the loop.
  timer_.After(milliseconds(0), [this] { Finish(); });
}

void RewardRun::OnResponseHead(const proxy::ResponseHead& head) {
  TakeScore(head);
}

void RewardRun::OnResponseEnd() {
  timer_.After(milliseconds(0), [this] { Finish(); });
}

void RewardRun::OnResponseAborted() {
  outcome_.score.clear();
  timer_.After(milliseconds(0), [this] { Finish(); });
}

void RewardRun::Finish() {
  if (request_ != nullptr) {
    outcome_.upstream_errors = request_->upstream_errors();
  }
  request_.reset();
  const Done done = std::move(done_);
  const RewardOutcome outcome = outcome_;
  done(outcome);
}

}  // namespace briarspread::batch
