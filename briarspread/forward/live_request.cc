#include "briarspread/forward/live_request.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {
namespace {

/// A longer answer is passed on as it comes.
constexpr std::size_t kMaxHeldBytes = std::size_t{256} * 1024;
/// With more bytes unsent, reading from the upstream pauses.
constexpr std::size_t kHighWater = std::size_t{256} * 1024;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

LiveRequest::LiveRequest(ForwardContext& context, LiveRequestSpec spec,
                         AnswerSink& sink)
    : context_(context),
      spec_(std::move(spec)),
      sink_(sink),
      policy_(AttemptSettings{}, spec_.route.is_idempotent(),
              spec_.route.max_attempts),
      timer_(context.loop),
      events_("") {
  if (spec_.route.kind == RouteKind::kStream && spec_.route.is_resumable) {
    relay_.emplace(
        spec_.request.head.headers.FindNumber(context_.headers.last_event_id));
  }
}

std::string_view LiveRequest::Id() const {
  const std::string* id =
      spec_.request.head.headers.Find(context_.headers.attempt_id);
  return id == nullptr ? std::string_view{"-"} : std::string_view{*id};
}

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
  if (!index.has_value() && !tried_.empty() && spec_.route.is_idempotent()) {
    // All were tried; the one tried longest ago has had the most time.
    wanted.excluded = TriedLately();
    index = context_.router.Choose(wanted, table, no_rules);
  }
  if (!index.has_value()) return std::nullopt;
  const UpstreamView& view = table.upstreams[*index];
  if (LoadEstimate(view).ExpectedWait() >
      spec_.deadline - context_.clock.Now()) {
    return std::nullopt;
  }
  return UpstreamId(view.listed.name);
}

std::vector<UpstreamId> LiveRequest::TriedLately() const {
  std::vector<UpstreamId> lately;
  for (auto it = tried_.rbegin(); it != tried_.rend(); ++it) {
    if (std::find(lately.begin(), lately.end(), *it) == lately.end()) {
      lately.push_back(*it);
    }
  }
  lately.pop_back();
  return lately;
}

std::string LiveRequest::MakeBytes(const UpstreamId& upstream,
                                   milliseconds left) const {
  proxy::RequestHead head = spec_.request.head;
  head.headers.RemoveHopByHop();
  head.headers.Set(context_.headers.deadline, std::to_string(left.count()));
  head.headers.Set(context_.headers.expected_upstream, upstream.value());
  if (relay_.has_value() && relay_->last_event_id().has_value()) {
    head.headers.Set(context_.headers.last_event_id,
                     std::to_string(*relay_->last_event_id()));
  }
  return proxy::Serialize(head, spec_.request.body);
}

bool LiveRequest::MayBeSent() const {
  const CrashGuard& crashes = context_.crashes;
  return !crashes.has_suspects() ||
         !crashes.MustRefuse(FingerprintOf(spec_.request));
}

void LiveRequest::Attempt() {
  if (!MayBeSent()) {
    Refuse("crashes_upstreams");
    return;
  }
  const ServiceName service =
      ChooseBackend(spec_.route, context_.random.Next());
  const auto chosen = ChooseUpstream(service);
  if (!chosen.has_value()) {
    Refuse(tried_.empty() ? "no_upstream" : "no_other_upstream");
    return;
  }
  const KnownUpstream* upstream = context_.directory.Find(*chosen);
  if (!tried_.empty()) ++context_.metrics.retries;
  if (is_streaming_) ++context_.metrics.resumed_streams;
  upstream_ = *chosen;
  tried_.push_back(*chosen);
  counters_ = upstream->counters;
  counters_->in_flight.fetch_add(1);
  attempt_started_ = context_.clock.Now();
  if (tried_.size() == 1) {
    context_.metrics.wait_time.Record(
        SecondsOf(attempt_started_ - spec_.arrived));
  }
  answer_ = {};
  passes_on_ = false;
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
  if (counters_ == nullptr) return;
  counters_->in_flight.fetch_sub(1);
  counters_.reset();
  context_.metrics.upstream_time.Record(
      SecondsOf(context_.clock.Now() - attempt_started_));
}

void LiveRequest::NoteServiceTime() {
  const KnownUpstream* upstream = context_.directory.Find(*upstream_);
  if (upstream == nullptr) return;
  RecordServiceTime(*upstream->counters,
                    context_.clock.Now() - attempt_started_);
}

bool LiveRequest::IsUnsigned(const proxy::ResponseHead& head) const {
  return IsSuccess(head.status) && !context_.headers.signature.empty() &&
         head.headers.Find(context_.headers.signature) == nullptr;
}

bool LiveRequest::IsNotRun(const proxy::ResponseHead& head) const {
  return head.status == 421 ||
         head.headers.Find(context_.headers.not_run) != nullptr;
}

void LiveRequest::OnHead(const proxy::ResponseHead& head) {
  NoteUpstreamHead(context_, *upstream_, head);
  answer_.head = head;
  if (IsUnsigned(head)) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.NoteFailure(*upstream_);
    TakeFailure(Verdict::kMayHaveRun, "unsigned");
    return;
  }
  if (spec_.route.kind != RouteKind::kStream || !IsSuccess(head.status)) return;
  if (is_streaming_) {
    passes_on_ = true;
  } else {
    StartStreaming();
  }
}

void LiveRequest::OnBody(std::string_view data) {
  if (!passes_on_) {
    answer_.body.append(data);
    if (answer_.body.size() <= kMaxHeldBytes) return;
    if (!IsForCaller()) {
      CutUselessAnswer();
      return;
    }
    StartStreaming();
    data = answer_.body;
  }
  if (!relay_.has_value()) {
    NoteProgress(data);
    PassOn(data);
    return;
  }
  std::string events;
  const bool is_fine =
      relay_->Take(data, events) == StreamRelay::Outcome::kFine;
  if (!events.empty()) {
    progressed_ = context_.clock.Now();
    PassOn(events);
  }
  if (is_fine || self_ == nullptr || exchange_ == nullptr) return;
  exchange_->Cancel();
  EndAttempt();
  relay_->Restart();
  TakeFailure(Verdict::kMayHaveRun, "event_missing");
}

bool LiveRequest::IsForCaller() const {
  // The failure of an upstream that was to go on with a stream is not shown.
  if (is_streaming_ || IsNotRun(answer_.head)) return false;
  return answer_.head.status < 500 || !spec_.route.is_idempotent();
}

void LiveRequest::CutUselessAnswer() {
  exchange_->Cancel();
  EndAttempt();
  context_.directory.NoteFailure(*upstream_);
  const bool is_not_run = IsNotRun(answer_.head);
  answer_ = {};
  TakeFailure(is_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
              "endless_failure");
}

void LiveRequest::NoteProgress(std::string_view data) {
  bytes_since_ += data.size();
  const bool is_further = spec_.route.kind == RouteKind::kStream
                              ? !events_.Feed(data).empty()
                              : bytes_since_ >= spec_.progress.bytes;
  if (!is_further) return;
  progressed_ = context_.clock.Now();
  bytes_since_ = 0;
}

Duration LiveRequest::StallTime() const {
  return std::max<Duration>(spec_.progress.least_stall,
                            spec_.progress.goals * spec_.route.latency_goal);
}

void LiveRequest::CheckProgress() {
  const TimePoint now = context_.clock.Now();
  if (exchange_ == nullptr || now - progressed_ <= StallTime()) return;
  // One that waits for its caller is not the upstream's to mend.
  if (relay_.has_value() && sink_.unsent() == 0) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.NoteFailure(*upstream_);
    relay_->Restart();
    progressed_ = now;
    TakeFailure(Verdict::kMayHaveRun, "stalled");
    return;
  }
  // Until its time is over the caller decides how long it waits.
  if (now < spec_.deadline) return;
  exchange_->Cancel();
  EndAttempt();
  BreakAnswer();
}

void LiveRequest::PassOn(std::string_view data) {
  sink_.OnAnswerBody(data);
  if (self_ != nullptr && exchange_ != nullptr && sink_.unsent() > kHighWater) {
    exchange_->SetPaused(true);
  }
}

void LiveRequest::StartStreaming() {
  is_streaming_ = true;
  passes_on_ = true;
  progressed_ = context_.clock.Now();
  timer_.Every(spec_.progress.check, [this] { CheckProgress(); });
  sink_.OnAnswerHead(answer_.head);
}

void LiveRequest::OnDrained() {
  if (exchange_ != nullptr) exchange_->SetPaused(false);
}

void LiveRequest::OnEnd() {
  EndAttempt();
  if (passes_on_) {
    OnStreamEnd();
    return;
  }
  const int status = answer_.head.status;
  if (IsNotRun(answer_.head)) {
    TakeFailure(Verdict::kNotRun, "upstream_refused");
    return;
  }
  context_.directory.NoteSuccess(*upstream_);
  NoteServiceTime();
  if (context_.crashes.has_suspects()) {
    context_.crashes.NoteAnswered(FingerprintOf(spec_.request));
  }
  if (status == 500) ++upstream_errors_;
  const bool may_differ = status >= 500 && spec_.route.is_idempotent();
  if (may_differ || is_streaming_) {
    if (!is_streaming_) failure_answer_ = std::move(answer_);
    TakeFailure(Verdict::kMayHaveRun, "upstream_error");
    return;
  }
  Answer(std::move(answer_));
}

void LiveRequest::OnStreamEnd() {
  if (relay_.has_value() && relay_->has_partial()) {
    // It stopped midway in an event, though its connection ended in order.
    relay_->Restart();
    TakeFailure(Verdict::kMayHaveRun, "event_cut");
    return;
  }
  context_.directory.NoteSuccess(*upstream_);
  NoteAnswer(answer_.head.status);
  sink_.OnAnswerEnd();
  Finish();
}

void LiveRequest::OnFailure(const proxy::ExchangeFailure& failure) {
  EndAttempt();
  if (failure.verdict == Verdict::kMayHaveRun) {
    context_.crashes.NoteBroken(*upstream_, FingerprintOf(spec_.request));
  }
  ++context_.metrics.faults[std::string(ToString(failure.fault))];
  if (!failure.was_kept_connection) {
    context_.directory.NoteFailure(*upstream_);
  }
  if (relay_.has_value()) {
    relay_->Restart();
  } else if (is_streaming_) {
    policy_.Note(failure.verdict);
    BreakAnswer();
    return;
  }
  TakeFailure(failure.verdict, ToString(failure.fault));
}

void LiveRequest::TakeFailure(Verdict verdict, std::string_view reason) {
  policy_.Note(verdict);
  LOG(WARNING) << "event=attempt_failed request=" << Id()
               << " route=" << spec_.route.name << " upstream=" << *upstream_
               << " reason=" << reason << " verdict=" << ToString(verdict)
               << " attempts=" << tried_.size()
               << " ms_left=" << Left().count();
  if (policy_.MayTryAgain(Left())) {
    Attempt();
    return;
  }
  Refuse(reason);
}

void LiveRequest::BreakAnswer() {
  LOG(WARNING) << "event=answer_broken request=" << Id()
               << " route=" << spec_.route.name << " upstream=" << *upstream_
               << " attempts=" << tried_.size();
  sink_.OnAnswerBroken();
  Finish();
}

Duration LiveRequest::ReturnTime() {
  if (!MayBeSent()) return context_.returns.PlanAfterCrashes();
  const ServiceName& service = spec_.route.backends.empty()
                                   ? ServiceName()
                                   : spec_.route.backends.front().service;
  return context_.returns.Plan(service, RoomOf(context_.directory.table(),
                                               service, context_.clock.Now()));
}

void LiveRequest::Refuse(std::string_view reason) {
  if (is_streaming_) {
    BreakAnswer();
    return;
  }
  if (failure_answer_.has_value()) {
    Answer(*std::exchange(failure_answer_, std::nullopt));
    return;
  }
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  proxy::Response response = proxy::MakeResponse(
      is_not_run ? 503 : 502,
      "{\"error\":\"" + std::string(reason) + "\",\"verdict\":\"" +
          std::string(ToString(policy_.verdict())) + "\"}");
  if (is_not_run) proxy::SetRetryAfter(response, ReturnTime());
  LOG(WARNING) << "event=refused request=" << Id()
               << " route=" << spec_.route.name << " reason=" << reason
               << " status=" << response.head.status
               << " attempts=" << tried_.size()
               << " upstreams=" << context_.directory.all().size()
               << " ms_left=" << Left().count();
  ++context_.metrics.refusals[std::string(reason)];
  Answer(std::move(response));
}

void LiveRequest::OnDeadline() {
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    EndAttempt();
    policy_.Note(Verdict::kMayHaveRun);
  }
  if (failure_answer_.has_value()) {
    Answer(*std::exchange(failure_answer_, std::nullopt));
    return;
  }
  LOG(WARNING) << "event=timed_out request=" << Id()
               << " route=" << spec_.route.name << " upstream="
               << (upstream_.has_value() ? upstream_->value() : "-")
               << " attempts=" << tried_.size();
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  proxy::Response response =
      proxy::MakeResponse(is_not_run ? 503 : 504, "{\"error\":\"timed_out\"}");
  if (is_not_run) proxy::SetRetryAfter(response, ReturnTime());
  Answer(std::move(response));
}

void LiveRequest::NoteAnswer(int status) {
  const Duration taken = context_.clock.Now() - spec_.arrived;
  RouteMetrics& metrics = context_.metrics.routes[spec_.route.name];
  ++metrics.answers[status];
  metrics.in_goal += IsSuccess(status) && taken <= spec_.route.latency_goal;
  metrics.latency.Record(SecondsOf(taken));
  LOG(INFO) << "event=answered request=" << Id()
            << " route=" << spec_.route.name << " status=" << status
            << " upstream="
            << (upstream_.has_value() ? upstream_->value() : "-")
            << " attempts=" << tried_.size() << " ms="
            << std::chrono::duration_cast<milliseconds>(taken).count();
}

void LiveRequest::Answer(proxy::Response response) {
  NoteAnswer(response.head.status);
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
