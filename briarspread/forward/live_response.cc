// The part of `LiveRequest` that receives the upstream's response and passes it
// on.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/forward/live_request.h"
#include "briarspread/forward/response_verdict.h"

namespace briarspread::forward {
namespace {

/// Maximum number of bytes of a response that are buffered; a longer response
/// is passed on as it arrives.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
/// Number of unsent bytes above which reading from the upstream is paused.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;
/// Both limits while little memory is free.
constexpr std::size_t kMaxTightBytes = std::size_t{32} * 1024;
/// Status of an upstream that is not the one expected.
constexpr int kMisdirected = 421;

}  // namespace

std::size_t LiveRequest::LimitBytes(std::size_t usual) const {
  const bool is_tight =
      context_.memory != nullptr && context_.memory->IsTight();
  return is_tight ? kMaxTightBytes : usual;
}

bool LiveRequest::IsUnsigned(const proxy::ResponseHead& head) const {
  return proxy::IsSuccess(head.status) && !context_.headers.signature.empty() &&
         head.headers.Find(context_.headers.signature) == nullptr;
}

Verdict LiveRequest::ResponseVerdict() const {
  const Verdict verdict = VerdictOf(response_.head, context_.headers);
  const bool is_harmless = verdict == Verdict::kMayHaveRun &&
                           spec_.route.is_idempotent() &&
                           response_.head.status != kMisdirected;
  return is_harmless ? Verdict::kAnswered : verdict;
}

void LiveRequest::OnHead(const proxy::ResponseHead& head) {
  UpdateFromResponseHead(context_, *upstream_, head, attempt_started_);
  response_.head = head;
  if (ResponseVerdict() != Verdict::kNotRun) RecordUsage();
  if (IsUnsigned(head)) {
    exchange_->Cancel();
    EndAttempt();
    context_.directory.RecordFailure(*upstream_);
    HandleFailure(Verdict::kMayHaveRun, "unsigned");
    return;
  }
  const bool is_stream = spec_.route.kind == RouteKind::kStream;
  if (!is_stream || !proxy::IsSuccess(head.status)) return;
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
    response_memory_.Set(response_.body.size());
    if (response_.body.size() <= LimitBytes(kMaxBufferedBytes)) return;
    if (!CanForwardResponse()) {
      AbortUnusableResponse();
      return;
    }
    StartStreaming();
    const std::string begin = std::exchange(response_.body, {});
    response_memory_.Release();
    PassOn(begin);
    return;
  }
  PassOn(data);
}

void LiveRequest::PassOn(std::string_view data) {
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
  if (is_streaming_ || ResponseVerdict() != Verdict::kAnswered) return false;
  return response_.head.status < 500 || !spec_.route.is_idempotent();
}

void LiveRequest::AbortUnusableResponse() {
  exchange_->Cancel();
  EndAttempt();
  context_.directory.RecordFailure(*upstream_);
  const Verdict verdict = ResponseVerdict();
  if (verdict == Verdict::kMayHaveRun) LogUnmarkedRefusal();
  response_ = {};
  HandleFailure(
      verdict == Verdict::kNotRun ? Verdict::kNotRun : Verdict::kMayHaveRun,
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
      request_->head.headers.Find(context_.headers.attempt_id);
  if (id == nullptr || attempt_software_.value().empty()) return;
  context_.stream_origins.Record(forward::AttemptId(*id), attempt_software_);
}

void LiveRequest::ForwardBody(std::string_view data) {
  sink_.OnResponseBody(data);
  if (self_ != nullptr && exchange_ != nullptr &&
      sink_.unsent() > LimitBytes(kMaxUnsentBytes)) {
    exchange_->SetPaused(true);
  }
}

void LiveRequest::StartStreaming() {
  is_streaming_ = true;
  is_forwarding_body_ = true;
  begun_head_ = response_.head;
  last_progress_ = context_.clock.Now();
  context_.directory.RecordFirstEvent(*upstream_);
  timer_.Every(spec_.stall_detection.check_interval,
               [this] { CheckProgress(); });
  // A response without a body can't be put together from several.
  const bool has_body = request_->head.method != "HEAD" &&
                        proxy::StatusHasBody(response_.head.status);
  sink_.OnResponseHead(relay_.has_value() && has_body
                           ? StreamRelay::HeadFrom(response_.head)
                           : response_.head);
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
  switch (ResponseVerdict()) {
    case Verdict::kNotRun:
      HandleFailure(Verdict::kNotRun, "upstream_refused");
      return;
    case Verdict::kMayHaveRun:
      LogUnmarkedRefusal();
      HandleFailure(Verdict::kMayHaveRun, "unmarked_refusal");
      return;
    case Verdict::kAnswered:
      break;
  }
  context_.directory.RecordSuccess(*upstream_);
  UpdateServiceTime();
  suspicion_.RecordResponse(status);
  if (status == 500) ++upstream_errors_;
  const bool may_differ = status >= 500 && spec_.route.is_idempotent();
  if (may_differ || is_streaming_) {
    if (!is_streaming_) error_response_ = std::move(response_);
    HandleFailure(Verdict::kMayHaveRun, "upstream_error");
    return;
  }
  Respond(std::move(response_));
}

void LiveRequest::LogUnmarkedRefusal() const {
  LOG(WARNING) << "event=unmarked_refusal request=" << AttemptId()
               << " upstream=" << *upstream_
               << " status=" << response_.head.status;
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
  suspicion_.RecordResponse(response_.head.status);
  RecordResponse(response_.head.status);
  sink_.OnResponseEnd();
  Finish();
}

}  // namespace briarspread::forward
