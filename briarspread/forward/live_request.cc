#include "briarspread/forward/live_request.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {
namespace {

/// Time after which an upstream that has not answered counts as having begun to
/// run a request. A window's counts are read about 2 s after its end, and some
/// responses take longer.
constexpr milliseconds kUsageRunTime{600};

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
      request_(
          std::make_shared<const proxy::Request>(std::move(spec_.request))),
      sink_(sink),
      policy_(AttemptSettings{}, spec_.route.is_idempotent(),
              spec_.route.max_attempts),
      chooser_(context, spec_.route.is_idempotent(), spec_.deadline),
      timer_(context.loop),
      usage_timer_(context.loop),
      suspicion_(context, request_, spec_.account, spec_.may_be_suspected),
      response_memory_(context.memory, MemoryHolder::kResponses),
      events_("") {
  if (spec_.route.kind == RouteKind::kStream && spec_.route.is_resumable) {
    relay_.emplace(
        request_->head.headers.FindNumber(context_.headers.last_event_id));
  }
}

std::string_view LiveRequest::AttemptId() const {
  const std::string* id =
      request_->head.headers.Find(context_.headers.attempt_id);
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
      request_->head.headers.Find(context_.headers.resumed_attempt);
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

std::optional<proxy::RequestBytes> LiveRequest::SerializeRequestHead(
    const UpstreamId& upstream, milliseconds left) const {
  proxy::RequestHead head = request_->head;
  head.headers.RemoveHopByHop();
  head.headers.Set(context_.headers.deadline, std::to_string(left.count()));
  head.headers.Set(context_.headers.expected_upstream, upstream.value());
  if (HasEvents()) {
    head.headers.Set(context_.headers.last_event_id,
                     std::to_string(*relay_->last_event_id()));
  }
  return proxy::RequestBytes::MakeHead(head, request_->body.size());
}

void LiveRequest::StartAttempt() {
  switch (suspicion_.Decide()) {
    case SuspectAdmission::kRun:
      PlaceAttempt();
      break;
    case SuspectAdmission::kTryOnce:
      RequestTrial();
      break;
    case SuspectAdmission::kRefuse:
      Refuse("crashes_upstreams");
      break;
  }
}

void LiveRequest::RequestTrial() {
  suspicion_.RequestTrial([this, keep = self_](bool is_granted) {
    // The request may have ended meanwhile.
    if (self_ == nullptr) return;
    if (!is_granted) {
      Refuse("crashes_upstreams");
      return;
    }
    chooser_.PreferIdle();
    PlaceAttempt();
  });
}

void LiveRequest::PlaceAttempt() {
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
      request_->head.headers.Find(context_.headers.resumed_attempt);
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
  attempt_upstream_ = {chosen, upstream->listed.start_id};
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
  response_memory_.Release();
  is_forwarding_body_ = false;
  proxy::ExchangeRequest request;
  const milliseconds left = TimeLeft();
  request.to = upstream->listed.endpoint;
  request.bytes = SerializeRequestHead(chosen, left);
  request.body = std::shared_ptr<const std::string>(request_, &request_->body);
  request.is_head_request = request_->head.method == "HEAD";
  const std::string* attempt_id =
      request_->head.headers.Find(context_.headers.attempt_id);
  if (attempt_id != nullptr) {
    request.echo_name = context_.headers.attempt_id;
    request.echo_value = *attempt_id;
  }
  context_.limiter.TakePermit(chosen, RequestPurpose::kLive);
  context_.limiter.RecordSend(chosen, RequestPurpose::kLive);
  exchange_ =
      context_.upstreams.Start(attempt_upstream_, std::move(request), *this);
  if (CountsUsage()) {
    usage_timer_.After(kUsageRunTime, [this] { RecordUsage(); });
  }
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
  usage_timer_.Cancel();
  exchange_.reset();
  if (counters_ == nullptr) return;
  counters_->in_flight.fetch_sub(1);
  counters_.reset();
  context_.metrics.upstream_time.Record(
      SecondsOf(context_.clock.Now() - attempt_started_));
}

void LiveRequest::CancelAttempt() {
  exchange_->Cancel();
  EndAttempt();
  RecordUsage();
  // An upstream that crashed without closing its connections is noticed only
  // by its silence.
  suspicion_.RecordBrokenExchange(attempt_upstream_, attempt_started_);
}

bool LiveRequest::CountsUsage() const {
  return !is_usage_recorded_ && context_.usage != nullptr &&
         spec_.account.has_value();
}

void LiveRequest::RecordUsage() {
  if (!CountsUsage()) return;
  is_usage_recorded_ = true;
  // The time of sending is closer to the start of the run than the time of the
  // response, which includes the work.
  context_.usage->RecordStart(*spec_.account, attempt_started_);
}

void LiveRequest::UpdateServiceTime() {
  const KnownUpstream* upstream = context_.directory.Find(*upstream_);
  if (upstream == nullptr) return;
  const TimePoint now = context_.clock.Now();
  RecordServiceTime(*upstream->counters, now - attempt_started_,
                    upstream->load.slowness.At(now));
}

void LiveRequest::OnFailure(const proxy::ExchangeFailure& failure) {
  EndAttempt();
  if (failure.verdict == Verdict::kMayHaveRun) {
    RecordUsage();
    suspicion_.RecordBrokenExchange(attempt_upstream_, attempt_started_);
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
  if (suspicion_.IsRefused()) {
    return context_.retry_after_planner.PlanAfterCrashes(
        suspicion_.TimeUntilTrial());
  }
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
    CancelAttempt();
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
      proxy::IsSuccess(status) && taken <= spec_.route.latency_goal;
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
  if (exchange_ != nullptr) CancelAttempt();
  Finish();
}

void LiveRequest::Finish() {
  timer_.Cancel();
  permit_waiter_.reset();
  const auto keep = std::exchange(self_, nullptr);
}

}  // namespace briarspread::forward
