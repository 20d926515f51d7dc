#include "briarspread/forward/live_request.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {
namespace {

/// Maximum number of bytes of a response that are buffered; a longer response
/// is passed on as it arrives.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
/// Number of unsent bytes above which reading from the upstream is paused.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

bool HasBackend(const Route& route, const ServiceName& service) {
  return std::any_of(
      route.backends.begin(), route.backends.end(),
      [&service](const Backend& each) { return each.service == service; });
}

}  // namespace

LiveRequest::LiveRequest(ForwardContext& context, LiveRequestSpec spec,
                         ResponseSink& sink)
    : context_(context),
      spec_(std::move(spec)),
      sink_(sink),
      policy_(AttemptSettings{}, spec_.route.is_idempotent(),
              spec_.route.max_attempts),
      chooser_(context, spec_.route.is_idempotent(), spec_.deadline),
      timer_(context.loop),
      events_("") {
  if (spec_.route.kind == RouteKind::kStream && spec_.route.is_resumable) {
    relay_.emplace(
        spec_.request.head.headers.FindNumber(context_.headers.last_event_id));
  }
}

std::string_view LiveRequest::AttemptId() const {
  const std::string* id =
      spec_.request.head.headers.Find(context_.headers.attempt_id);
  return id == nullptr ? std::string_view{"-"} : std::string_view{*id};
}

void LiveRequest::Start() {
  self_ = shared_from_this();
  timer_.After(spec_.deadline - context_.clock.Now(), [this] { OnDeadline(); });
  if (HasEvents()) {
    FindOrigin();
  } else {
    StartAttempt();
  }
}

void LiveRequest::FindOrigin() {
  const std::string* resumed =
      spec_.request.head.headers.Find(context_.headers.resumed_attempt);
  if (resumed == nullptr) {
    Refuse("origin_not_named");
    return;
  }
  context_.stream_origins.Find(
      forward::AttemptId(*resumed),
      [this, keep = self_](const std::optional<SoftwareVersion>& software) {
        // The request may have ended meanwhile.
        if (self_ == nullptr) return;
        if (!software.has_value()) {
          Refuse("origin_unknown");
          return;
        }
        chooser_.RequireSoftware(*software);
        StartAttempt();
      });
}

milliseconds LiveRequest::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(spec_.deadline -
                                                  context_.clock.Now());
}

bool LiveRequest::WaitForPermit(const ServiceName& service) {
  RequestLimiter& limiter = context_.limiter;
  const TimePoint now = context_.clock.Now();
  if (!permit_deadline_.has_value()) {
    permit_deadline_ = now + limiter.settings().max_live_wait;
  }
  if (now >= *permit_deadline_) return false;
  std::vector<UpstreamId> ids = chooser_.WithoutPermit(service);
  if (!chooser_.RequestPermits(ids)) return false;
  permit_waiter_ = limiter.Wait(std::move(ids), [this] {
    const auto keep = self_;
    permit_waiter_.reset();
    StartAttempt();
  });
  return permit_waiter_ != nullptr;
}

std::string LiveRequest::SerializeRequest(const UpstreamId& upstream,
                                          milliseconds left) const {
  proxy::RequestHead head = spec_.request.head;
  head.headers.RemoveHopByHop();
  head.headers.Set(context_.headers.deadline, std::to_string(left.count()));
  head.headers.Set(context_.headers.expected_upstream, upstream.value());
  if (HasEvents()) {
    head.headers.Set(context_.headers.last_event_id,
                     std::to_string(*relay_->last_event_id()));
  }
  return proxy::Serialize(head, spec_.request.body);
}

bool LiveRequest::CanBeSent() const {
  const CrashGuard& crash_guard = context_.crash_guard;
  return !spec_.may_be_suspected || !crash_guard.has_suspects() ||
         !crash_guard.ShouldRefuse(FingerprintOf(spec_.request));
}

void LiveRequest::StartAttempt() {
  if (!CanBeSent()) {
    Refuse("crashes_upstreams");
    return;
  }
  if (HasEvents() && chooser_.required_software().value().empty()) {
    Refuse("origin_unknown");
    return;
  }
  const ServiceName service = ChooseService();
  const auto chosen = chooser_.Choose(service);
  if (chosen.has_value()) {
    SendTo(*chosen);
  } else if (!WaitForPermit(service)) {
    RefuseUnplaced(service);
  }
}

ServiceName LiveRequest::ChooseService() {
  if (HasEvents()) {
    const auto& all = context_.directory.all();
    const auto it =
        std::find_if(all.begin(), all.end(), [this](const auto& entry) {
          const DiscoveredUpstream& listed = entry.second.listed;
          return listed.software == chooser_.required_software() &&
                 HasBackend(spec_.route, listed.service);
        });
    if (it != all.end()) return it->second.listed.service;
  }
  return ChooseBackend(spec_.route, context_.random.Next());
}

void LiveRequest::LogResumption(const DiscoveredUpstream& upstream) const {
  const std::string* resumed =
      spec_.request.head.headers.Find(context_.headers.resumed_attempt);
  LOG(INFO) << "event=stream_resumed request=" << AttemptId()
            << " upstream=" << upstream.id << " software=" << upstream.software
            << " after_event=" << *relay_->last_event_id()
            << " resumed_attempt=" << (resumed == nullptr ? "-" : *resumed);
}

void LiveRequest::SendTo(const UpstreamId& chosen) {
  const KnownUpstream* upstream = context_.directory.Find(chosen);
  if (chooser_.attempts() > 0) ++context_.metrics.retries;
  if (is_streaming_) ++context_.metrics.resumed_streams;
  if (HasEvents()) LogResumption(upstream->listed);
  upstream_ = chosen;
  attempt_software_ = upstream->listed.software;
  chooser_.RecordAttempt(chosen);
  counters_ = upstream->counters;
  counters_->in_flight.fetch_add(1);
  attempt_started_ = context_.clock.Now();
  if (chooser_.attempts() == 1) {
    context_.metrics.wait_time.Record(
        SecondsOf(attempt_started_ - spec_.arrived));
  }
  response_ = {};
  is_forwarding_body_ = false;
  proxy::ExchangeRequest request;
  const milliseconds left = TimeLeft();
  request.to = upstream->listed.endpoint;
  request.bytes = SerializeRequest(chosen, left);
  request.is_head_request = spec_.request.head.method == "HEAD";
  const std::string* attempt_id =
      spec_.request.head.headers.Find(context_.headers.attempt_id);
  if (attempt_id != nullptr) {
    request.echo_name = context_.headers.attempt_id;
    request.echo_value = *attempt_id;
  }
  context_.limiter.TakePermit(chosen, RequestPurpose::kLive);
  context_.limiter.RecordSend(chosen, RequestPurpose::kLive);
  exchange_ = context_.upstreams.Start({chosen, upstream->listed.start_id},
                                       std::move(request), *this);
}

void LiveRequest::RefuseUnplaced(const ServiceName& service) {
  if (!chooser_.WithoutPermit(service).empty()) {
    is_limited_ = true;
    Refuse("limited");
  } else if (HasEvents()) {
    Refuse("no_upstream_of_version");
  } else {
    Refuse(chooser_.attempts() == 0 ? "no_upstream" : "no_other_upstream");
  }
}

void LiveRequest::EndAttempt() {
  exchange_.reset();
  if (counters_ == nullptr) return;
  counters_->in_flight.fetch_sub(1);
  counters_.reset();
  context_.metrics.upstream_time.Record(
      SecondsOf(context_.clock.Now() - attempt_started_));
}

void LiveRequest::UpdateServiceTime() {
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
  UpdateFromResponseHead(context_, *upstream_, head, attempt_started_);
  response_.head = head;
  if (IsUnsigned(head)) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.RecordFailure(*upstream_);
    HandleFailure(Verdict::kMayHaveRun, "unsigned");
    return;
  }
  if (spec_.route.kind != RouteKind::kStream || !IsSuccess(head.status)) return;
  if (!is_streaming_) {
    StartStreaming();
  } else if (ContinuesStream(head)) {
    is_forwarding_body_ = true;
  }
  // Any other response is buffered and ends the attempt as failed.
}

bool LiveRequest::ContinuesStream(const proxy::ResponseHead& head) const {
  const std::string_view begun = begun_head_.headers.MediaType();
  return head.status == begun_head_.status &&
         (begun.empty() ||
          proxy::EqualsIgnoreCase(head.headers.MediaType(), begun));
}

void LiveRequest::OnBody(std::string_view data) {
  if (!is_forwarding_body_) {
    response_.body.append(data);
    if (response_.body.size() <= kMaxBufferedBytes) return;
    if (!CanForwardResponse()) {
      AbortUnusableResponse();
      return;
    }
    StartStreaming();
    data = response_.body;
  }
  if (!relay_.has_value()) {
    UpdateProgress(data);
    ForwardBody(data);
    return;
  }
  std::string events;
  const bool is_begin = !relay_->last_event_id().has_value();
  const bool is_ok = relay_->Feed(data, events) == StreamRelay::Outcome::kOk;
  if (!events.empty()) {
    last_progress_ = context_.clock.Now();
    if (is_begin) RecordStreamBegin();
    ForwardBody(events);
  }
  if (is_ok || self_ == nullptr || exchange_ == nullptr) return;
  exchange_->Cancel();
  EndAttempt();
  relay_->Restart();
  HandleFailure(Verdict::kMayHaveRun, "event_missing");
}

bool LiveRequest::CanForwardResponse() const {
  // After the start of a stream, the error response of the upstream that should
  // resume it is not passed on.
  if (is_streaming_ || IsNotRun(response_.head)) return false;
  return response_.head.status < 500 || !spec_.route.is_idempotent();
}

void LiveRequest::AbortUnusableResponse() {
  exchange_->Cancel();
  EndAttempt();
  context_.directory.RecordFailure(*upstream_);
  const bool is_not_run = IsNotRun(response_.head);
  response_ = {};
  HandleFailure(is_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                "endless_failure");
}

void LiveRequest::UpdateProgress(std::string_view data) {
  bytes_since_progress_ += data.size();
  const bool has_progress =
      spec_.route.kind == RouteKind::kStream
          ? !events_.Feed(data).empty()
          : bytes_since_progress_ >= spec_.stall_detection.progress_bytes;
  if (!has_progress) return;
  last_progress_ = context_.clock.Now();
  bytes_since_progress_ = 0;
}

Duration LiveRequest::StallTimeout() const {
  return std::max<Duration>(
      spec_.stall_detection.min_stall_timeout,
      spec_.stall_detection.latency_goal_factor * spec_.route.latency_goal);
}

void LiveRequest::CheckProgress() {
  const TimePoint now = context_.clock.Now();
  if (exchange_ == nullptr || now - last_progress_ <= StallTimeout()) return;
  // While the caller still has bytes to read, the upstream may be paused, so
  // the stall is not its fault.
  if (relay_.has_value() && sink_.unsent() == 0) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.RecordFailure(*upstream_);
    relay_->Restart();
    last_progress_ = now;
    HandleFailure(Verdict::kMayHaveRun, "stalled");
    return;
  }
  // Before the deadline, the caller decides how long to wait.
  if (now < spec_.deadline) return;
  exchange_->Cancel();
  EndAttempt();
  AbortResponse();
}

void LiveRequest::RecordStreamBegin() {
  chooser_.RequireSoftware(attempt_software_);
  LOG(INFO) << "event=stream_began request=" << AttemptId()
            << " upstream=" << *upstream_ << " software=" << attempt_software_;
  const std::string* id =
      spec_.request.head.headers.Find(context_.headers.attempt_id);
  if (id == nullptr || attempt_software_.value().empty()) return;
  context_.stream_origins.Record(forward::AttemptId(*id), attempt_software_);
}

void LiveRequest::ForwardBody(std::string_view data) {
  sink_.OnResponseBody(data);
  if (self_ != nullptr && exchange_ != nullptr &&
      sink_.unsent() > kMaxUnsentBytes) {
    exchange_->SetPaused(true);
  }
}

void LiveRequest::StartStreaming() {
  is_streaming_ = true;
  is_forwarding_body_ = true;
  begun_head_ = response_.head;
  last_progress_ = context_.clock.Now();
  timer_.Every(spec_.stall_detection.check_interval,
               [this] { CheckProgress(); });
  sink_.OnResponseHead(response_.head);
}

void LiveRequest::OnDrained() {
  if (exchange_ != nullptr) exchange_->SetPaused(false);
}

void LiveRequest::OnEnd() {
  EndAttempt();
  if (is_forwarding_body_) {
    OnStreamEnd();
    return;
  }
  const int status = response_.head.status;
  if (IsNotRun(response_.head)) {
    HandleFailure(Verdict::kNotRun, "upstream_refused");
    return;
  }
  context_.directory.RecordSuccess(*upstream_);
  UpdateServiceTime();
  if (context_.crash_guard.has_suspects()) {
    context_.crash_guard.RecordCompleteResponse(FingerprintOf(spec_.request));
  }
  if (status == 500) ++upstream_errors_;
  const bool may_differ = status >= 500 && spec_.route.is_idempotent();
  if (may_differ || is_streaming_) {
    if (!is_streaming_) error_response_ = std::move(response_);
    HandleFailure(Verdict::kMayHaveRun, "upstream_error");
    return;
  }
  Respond(std::move(response_));
}

void LiveRequest::OnStreamEnd() {
  if (relay_.has_value() && relay_->has_partial()) {
    // The body ended in the middle of an event, although the connection ended
    // without an error.
    relay_->Restart();
    HandleFailure(Verdict::kMayHaveRun, "event_cut");
    return;
  }
  context_.directory.RecordSuccess(*upstream_);
  RecordResponse(response_.head.status);
  sink_.OnResponseEnd();
  Finish();
}

void LiveRequest::OnFailure(const proxy::ExchangeFailure& failure) {
  EndAttempt();
  if (failure.verdict == Verdict::kMayHaveRun && spec_.may_be_suspected) {
    context_.crash_guard.RecordBrokenExchange(*upstream_,
                                              FingerprintOf(spec_.request));
  }
  ++context_.metrics.faults[std::string(ToString(failure.fault))];
  context_.upstreams.RecordFailure(*upstream_, failure);
  if (relay_.has_value()) {
    relay_->Restart();
  } else if (is_streaming_) {
    policy_.RecordVerdict(failure.verdict);
    AbortResponse();
    return;
  }
  HandleFailure(failure.verdict, ToString(failure.fault));
}

void LiveRequest::HandleFailure(Verdict verdict, std::string_view reason) {
  policy_.RecordVerdict(verdict);
  LOG(WARNING) << "event=attempt_failed request=" << AttemptId()
               << " route=" << spec_.route.name << " upstream=" << *upstream_
               << " reason=" << reason << " verdict=" << ToString(verdict)
               << " attempts=" << chooser_.attempts()
               << " ms_left=" << TimeLeft().count();
  if (policy_.CanRetry(TimeLeft())) {
    StartAttempt();
    return;
  }
  Refuse(reason);
}

void LiveRequest::AbortResponse() {
  LOG(WARNING) << "event=answer_broken request=" << AttemptId()
               << " route=" << spec_.route.name << " upstream=" << *upstream_
               << " attempts=" << chooser_.attempts();
  sink_.OnResponseAborted();
  Finish();
}

Duration LiveRequest::RetryAfterTime() {
  if (!CanBeSent()) return context_.retry_after_planner.PlanAfterCrashes();
  const ServiceName& service = spec_.route.backends.empty()
                                   ? ServiceName()
                                   : spec_.route.backends.front().service;
  const SlotAvailability availability =
      is_limited_ ? chooser_.EstimateLimitedAvailability(service)
                  : EstimateAvailability(context_.directory.table(), service,
                                         context_.clock.Now());
  return context_.retry_after_planner.Plan(service, availability);
}

void LiveRequest::Refuse(std::string_view reason) {
  if (is_streaming_) {
    AbortResponse();
    return;
  }
  if (error_response_.has_value()) {
    Respond(*std::exchange(error_response_, std::nullopt));
    return;
  }
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  proxy::Response response = proxy::MakeResponse(
      is_not_run ? 503 : 502,
      "{\"error\":\"" + std::string(reason) + "\",\"verdict\":\"" +
          std::string(ToString(policy_.verdict())) + "\"}");
  if (is_not_run) proxy::SetRetryAfter(response, RetryAfterTime());
  LOG(WARNING) << "event=refused request=" << AttemptId()
               << " route=" << spec_.route.name << " reason=" << reason
               << " status=" << response.head.status
               << " attempts=" << chooser_.attempts()
               << " upstreams=" << context_.directory.all().size()
               << " ms_left=" << TimeLeft().count();
  ++context_.metrics.refusals[std::string(reason)];
  Respond(std::move(response));
}

void LiveRequest::OnDeadline() {
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    EndAttempt();
    policy_.RecordVerdict(Verdict::kMayHaveRun);
  }
  if (error_response_.has_value()) {
    Respond(*std::exchange(error_response_, std::nullopt));
    return;
  }
  LOG(WARNING) << "event=timed_out request=" << AttemptId()
               << " route=" << spec_.route.name << " upstream="
               << (upstream_.has_value() ? upstream_->value() : "-")
               << " attempts=" << chooser_.attempts();
  const bool is_not_run = policy_.verdict() == Verdict::kNotRun;
  proxy::Response response =
      proxy::MakeResponse(is_not_run ? 503 : 504, "{\"error\":\"timed_out\"}");
  if (is_not_run) proxy::SetRetryAfter(response, RetryAfterTime());
  Respond(std::move(response));
}

void LiveRequest::RecordResponse(int status) {
  const Duration taken = context_.clock.Now() - spec_.arrived;
  RouteMetrics& metrics = context_.metrics.routes[spec_.route.name];
  ++metrics.answers[status];
  metrics.within_latency_goal +=
      IsSuccess(status) && taken <= spec_.route.latency_goal;
  metrics.latency.Record(SecondsOf(taken));
  LOG(INFO) << "event=answered request=" << AttemptId()
            << " route=" << spec_.route.name << " status=" << status
            << " upstream="
            << (upstream_.has_value() ? upstream_->value() : "-")
            << " attempts=" << chooser_.attempts() << " ms="
            << std::chrono::duration_cast<milliseconds>(taken).count();
}

void LiveRequest::Respond(proxy::Response response) {
  RecordResponse(response.head.status);
  const auto keep = self_;
  sink_.OnResponse(std::move(response));
  Finish();
}

void LiveRequest::Cancel() {
  if (self_ == nullptr) return;
  ++context_.metrics.disconnected_callers;
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    EndAttempt();
  }
  Finish();
}

void LiveRequest::Finish() {
  timer_.Cancel();
  permit_waiter_.reset();
  const auto keep = std::exchange(self_, nullptr);
}

}  // namespace briarspread::forward
