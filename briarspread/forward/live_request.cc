#include "briarspread/forward/live_request.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/routing/load_view.h"

namespace briarspread::forward {
namespace {

/// A longer answer is passed on as it comes.
constexpr std::size_t kMaxHeldBytes = std::size_t{256} * 1024;
/// With more bytes unsent, reading from the upstream pauses.
constexpr std::size_t kHighWater = std::size_t{256} * 1024;
/// When a refused caller is to come back, in seconds.
constexpr char kRetryAfterSeconds[] = "0.2";

}  // namespace

LiveRequest::LiveRequest(ForwardContext& context, LiveRequestSpec spec,
                         AnswerSink& sink)
    : context_(context),
      spec_(std::move(spec)),
      sink_(sink),
      policy_(AttemptSettings{}, spec_.route.kind, spec_.route.max_attempts),
      timer_(context.loop) {}

void LiveRequest::Start() {
  self_ = shared_from_this();
  timer_.After(spec_.deadline - context_.clock.Now(), [this] { OnDeadline(); });
  Attempt();
}

milliseconds LiveRequest::Left() const {
  return std::chrono::duration_cast<milliseconds>(spec_.deadline -
                                                  context_.clock.Now());
}

std::optional<UpstreamId> LiveRequest::ChooseUpstream(
    const ServiceName& service) {
  RouteRequest wanted;
  wanted.kind = InstanceKind::kPlainService;
  wanted.serves = service.value();
  wanted.excluded = tried_;
  static const RuleSet no_rules;
  const RoutingTable& table = context_.directory.table();
  auto index = context_.router.Choose(wanted, table, no_rules);
  if (!index.has_value() && !tried_.empty() &&
      spec_.route.kind == RouteKind::kIdempotent) {
    // All were tried once; the one tried first has had the most time.
    wanted.excluded.erase(wanted.excluded.begin());
    index = context_.router.Choose(wanted, table, no_rules);
  }
  if (!index.has_value()) return std::nullopt;
  const UpstreamView& view = table.upstreams[*index];
  if (LoadView(view).ExpectedWait() > spec_.deadline - context_.clock.Now()) {
    return std::nullopt;
  }
  return UpstreamId(view.listed.name);
}

std::string LiveRequest::MakeBytes(const UpstreamId& upstream,
                                   milliseconds left) const {
  proxy::RequestHead head = spec_.request.head;
  head.headers.RemoveHopByHop();
  head.headers.Set(context_.headers.deadline, std::to_string(left.count()));
  head.headers.Set(context_.headers.expected_upstream, upstream.value());
  return proxy::Serialize(head, spec_.request.body);
}

void LiveRequest::Attempt() {
  const ServiceName service =
      ChooseBackend(spec_.route, context_.random.Next());
  const auto chosen = ChooseUpstream(service);
  if (!chosen.has_value()) {
    Refuse(tried_.empty() ? "no_upstream" : "no_other_upstream");
    return;
  }
  const KnownUpstream* upstream = context_.directory.Find(*chosen);
  if (!tried_.empty()) ++context_.metrics.retries;
  upstream_ = *chosen;
  tried_.push_back(*chosen);
  counters_ = upstream->counters;
  counters_->in_flight.fetch_add(1);
  attempt_started_ = context_.clock.Now();
  answer_ = {};
  proxy::ExchangeOrder order;
  const milliseconds left = Left();
  order.to = upstream->listed.endpoint;
  order.bytes = MakeBytes(*chosen, left);
  order.is_head = spec_.request.head.method == "HEAD";
  const std::string* attempt_id =
      spec_.request.head.headers.Find(context_.headers.attempt_id);
  if (attempt_id != nullptr) {
    order.echo_name = context_.headers.attempt_id;
    order.echo_value = *attempt_id;
  }
  exchange_ = context_.pool.Start(std::move(order), *this);
}

void LiveRequest::EndAttempt() {
  exchange_.reset();
  if (counters_ != nullptr) counters_->in_flight.fetch_sub(1);
  counters_.reset();
}

bool LiveRequest::IsUnsigned(const proxy::ResponseHead& head) const {
  return head.status >= 200 && head.status < 300 &&
         head.headers.Find(context_.headers.signature) == nullptr;
}

bool LiveRequest::IsNotRun(const proxy::ResponseHead& head) const {
  return head.status == 421 ||
         head.headers.Find(context_.headers.not_run) != nullptr;
}

void LiveRequest::OnHead(const proxy::ResponseHead& head) {
  const std::string* load = head.headers.Find(context_.headers.load);
  if (load != nullptr) context_.directory.NoteLoad(*upstream_, *load);
  answer_.head = head;
  if (IsUnsigned(head)) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.NoteFailure(*upstream_);
    TakeFailure(Verdict::kMayHaveRun, "unsigned");
    return;
  }
  if (spec_.route.kind == RouteKind::kStream && !IsNotRun(head)) {
    StartStreaming();
  }
}

void LiveRequest::OnBody(std::string_view data) {
  if (!is_streaming_) {
    answer_.body.append(data);
    if (answer_.body.size() <= kMaxHeldBytes) return;
    StartStreaming();
    data = answer_.body;
  }
  sink_.OnAnswerBody(data);
  if (self_ != nullptr && exchange_ != nullptr && sink_.unsent() > kHighWater) {
    exchange_->SetPaused(true);
  }
}

void LiveRequest::StartStreaming() {
  is_streaming_ = true;
  sink_.OnAnswerHead(answer_.head);
}

void LiveRequest::OnDrained() {
  if (exchange_ != nullptr) exchange_->SetPaused(false);
}

void LiveRequest::OnEnd() {
  EndAttempt();
  if (is_streaming_) {
    context_.directory.NoteSuccess(*upstream_);
    sink_.OnAnswerEnd();
    Finish();
    return;
  }
  const int status = answer_.head.status;
  if (IsNotRun(answer_.head)) {
    TakeFailure(Verdict::kNotRun, "upstream_refused");
    return;
  }
  context_.directory.NoteSuccess(*upstream_);
  if (status == 500) ++upstream_errors_;
  if (status >= 500 && spec_.route.kind == RouteKind::kIdempotent) {
    failure_answer_ = std::move(answer_);
    TakeFailure(Verdict::kMayHaveRun, "upstream_error");
    return;
  }
  Answer(std::move(answer_));
}

void LiveRequest::OnFailure(const proxy::ExchangeFailure& failure) {
  EndAttempt();
  ++context_.metrics.faults[std::string(ToString(failure.fault))];
  if (!failure.was_kept_connection) {
    context_.directory.NoteFailure(*upstream_);
  }
  if (is_streaming_) {
    sink_.OnAnswerBroken();
    Finish();
    return;
  }
  TakeFailure(failure.verdict, ToString(failure.fault));
}

void LiveRequest::TakeFailure(Verdict verdict, std::string_view reason) {
  policy_.Note(verdict);
  LOG(INFO) << "event=attempt_failed upstream=" << *upstream_
            << " reason=" << reason << " verdict=" << ToString(verdict)
            << " attempts=" << tried_.size();
  if (policy_.MayTryAgain(Left())) {
    Attempt();
    return;
  }
  Refuse(reason);
}

void LiveRequest::Refuse(std::string_view reason) {
  if (failure_answer_.has_value()) {
    Answer(*std::exchange(failure_answer_, std::nullopt));
    return;
  }
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  proxy::Response response = proxy::MakeResponse(
      is_not_run ? 503 : 502,
      "{\"error\":\"" + std::string(reason) + "\",\"verdict\":\"" +
          std::string(ToString(policy_.verdict())) + "\"}");
  if (is_not_run) response.head.headers.Add("Retry-After", kRetryAfterSeconds);
  LOG(INFO) << "event=refused route=" << spec_.route.name
            << " reason=" << reason << " status=" << response.head.status
            << " attempts=" << tried_.size();
  if (tried_.empty()) ++context_.metrics.refused;
  Answer(std::move(response));
}

void LiveRequest::OnDeadline() {
  if (is_streaming_) {
    // Never cut by the route's time once its answer is on the way.
    return;
  }
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    EndAttempt();
    policy_.Note(Verdict::kMayHaveRun);
  }
  if (failure_answer_.has_value()) {
    Answer(*std::exchange(failure_answer_, std::nullopt));
    return;
  }
  LOG(INFO) << "event=timed_out route=" << spec_.route.name
            << " attempts=" << tried_.size();
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  Answer(
      proxy::MakeResponse(is_not_run ? 503 : 504, "{\"error\":\"timed_out\"}"));
}

void LiveRequest::Answer(proxy::Response response) {
  ++context_.metrics.answers[response.head.status];
  context_.metrics.latency.Record(
      std::chrono::duration<double>(context_.clock.Now() - spec_.arrived)
          .count());
  const auto keep = self_;
  sink_.OnAnswer(std::move(response));
  Finish();
}

void LiveRequest::Cancel() {
  if (self_ == nullptr) return;
  ++context_.metrics.callers_gone;
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    EndAttempt();
  }
  Finish();
}

void LiveRequest::Finish() {
  timer_.Cancel();
  const auto keep = std::exchange(self_, nullptr);
}

}  // namespace briarspread::forward
