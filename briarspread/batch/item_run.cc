#include "briarspread/batch/item_run.h"

#include <glog/logging.h>

#include <cassert>
#include <utility>

#include "briarspread/forward/response_verdict.h"

namespace briarspread::batch {
namespace {

/// Media type of the streams that engines send.
constexpr std::string_view kEventStreamType = "text/event-stream";
/// Time for which an engine gets no items after it refused a request.
constexpr milliseconds kRefusalBackoff{150};
/// A run is ended before the end of the body if the body of a refusal or
/// failure is longer than this.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;

}  // namespace

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kComplete:
      return "complete";
    case RunOutcome::kRefused:
      return "refused";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kImpossible:
      return "impossible";
    case RunOutcome::kBroken:
      return "broken";
    case RunOutcome::kTooOld:
      return "too_old";
  }
  return "unknown";
}

ItemRun::ItemRun(forward::ForwardContext& context, ItemRunSpec spec,
                 ItemRunListener& listener)
    : context_(context),
      spec_(std::move(spec)),
      listener_(listener),
      reader_(context.headers.weight_version) {}

ItemRun::~ItemRun() { Cancel(); }

void ItemRun::Start() {
  forward::KnownUpstream* engine = context_.directory.Find(spec_.engine);
  assert(engine != nullptr);
  counters_ = engine->counters;
  counters_->in_flight.fetch_add(1);
  counters_->rollouts_in_flight.fetch_add(1);
  started_ = context_.clock.Now();
  last_event_ = started_;
  proxy::RequestHead head = spec_.request.head;
  head.headers.Set(context_.headers.expected_upstream, spec_.engine.value());
  if (spec_.last_event_id.has_value()) {
    head.headers.Set(context_.headers.last_event_id,
                     std::to_string(*spec_.last_event_id));
  }
  proxy::ExchangeRequest request;
  request.to = spec_.endpoint;
  request.bytes = proxy::RequestBytes::Make(head, spec_.request.body);
  request.echo_name = context_.headers.attempt_id;
  request.echo_value = spec_.attempt_id;
  context_.limiter.RecordSend(spec_.engine, forward::RequestPurpose::kItem);
  exchange_ = context_.upstreams.Start({spec_.engine, spec_.start_id},
                                       std::move(request), *this);
}

void ItemRun::ReleaseSlot() {
  if (counters_ == nullptr) return;
  counters_->in_flight.fetch_sub(1);
  counters_->rollouts_in_flight.fetch_sub(1);
  counters_.reset();
}

void ItemRun::Cancel() {
  if (has_ended_) return;
  has_ended_ = true;
  if (exchange_ != nullptr) exchange_->Cancel();
  exchange_.reset();
  ReleaseSlot();
}

RunOutcome ItemRun::OutcomeOf(const proxy::ResponseHead& head) const {
  if (forward::VerdictOf(head, context_.headers) == Verdict::kNotRun) {
    return RunOutcome::kRefused;
  }
  if (head.status == 422) return RunOutcome::kImpossible;
  if (head.status == 500) return RunOutcome::kFailed;
  const bool is_signed =
      head.headers.Find(context_.headers.signature) != nullptr;
  if (head.status != 200 || !is_signed) return RunOutcome::kBroken;
  // Without events, a body of another type would count as a complete stream.
  const std::string_view type = head.headers.MediaType();
  if (!type.empty() && !proxy::EqualsIgnoreCase(type, kEventStreamType)) {
    return RunOutcome::kBroken;
  }
  return RunOutcome::kComplete;
}

void ItemRun::OnHead(const proxy::ResponseHead& head) {
  last_event_ = context_.clock.Now();
  forward::UpdateFromResponseHead(context_, spec_.engine, head, started_);
  expected_outcome_ = OutcomeOf(head);
  if (expected_outcome_ != RunOutcome::kComplete) return;
  const auto version = head.headers.FindNumber(context_.headers.weight_version);
  // A run that resumes after the last event of its item generates no events,
  // and its response names no version.
  if (!version.has_value()) return;
  version_ = WeightVersion(*version);
  context_.directory.UpdateVersion(spec_.engine, spec_.model, version_);
  if (version_ < spec_.oldest_allowed) {
    End(RunOutcome::kTooOld);
  }
}

void ItemRun::UpdateEventInterval(TimePoint now) {
  forward::KnownUpstream* engine = context_.directory.Find(spec_.engine);
  if (engine == nullptr) return;
  engine->RecordEventInterval(now - last_event_, now);
}

void ItemRun::OnBody(std::string_view data) {
  if (expected_outcome_ != RunOutcome::kComplete) {
    DiscardBody(data.size());
    return;
  }
  const std::vector<proxy::StreamEvent> events = reader_.Feed(data);
  for (const proxy::StreamEvent& event : events) {
    if (event.version.has_value()) {
      version_ = *event.version;
      context_.directory.UpdateVersion(spec_.engine, spec_.model, version_);
    }
    if (version_.value() == 0) {
      End(RunOutcome::kBroken);
      return;
    }
    const TimePoint now = context_.clock.Now();
    // The first interval includes queueing for a slot and reading the prompt.
    if (events_ > 0) {
      UpdateEventInterval(now);
    } else {
      context_.directory.RecordFirstEvent(spec_.engine);
    }
    ++events_;
    last_event_ = now;
    if (!listener_.OnRunEvent(*this, event, version_)) {
      End(RunOutcome::kBroken);
      return;
    }
    if (has_ended_) return;
  }
  if (reader_.is_overlong()) End(RunOutcome::kBroken);
}

void ItemRun::DiscardBody(std::size_t bytes) {
  discarded_bytes_ += bytes;
  if (discarded_bytes_ <= kMaxDiscardedBytes) return;
  ReportOutcome(expected_outcome_);
  End(expected_outcome_);
}

void ItemRun::OnEnd() {
  exchange_.reset();
  if (expected_outcome_ == RunOutcome::kComplete && reader_.has_partial()) {
    expected_outcome_ = RunOutcome::kBroken;
  }
  ReportOutcome(expected_outcome_);
  End(expected_outcome_);
}

void ItemRun::ReportOutcome(RunOutcome outcome) {
  if (outcome == RunOutcome::kRefused) {
    forward::KnownUpstream* engine = context_.directory.Find(spec_.engine);
    if (engine != nullptr) {
      engine->refuses_until = context_.clock.Now() + kRefusalBackoff;
    }
  } else if (outcome == RunOutcome::kBroken) {
    context_.directory.RecordFailure(spec_.engine);
  } else {
    context_.directory.RecordSuccess(spec_.engine);
  }
}

void ItemRun::OnFailure(const proxy::ExchangeFailure& failure) {
  exchange_.reset();
  ++context_.metrics.faults[std::string(ToString(failure.fault))];
  context_.upstreams.RecordFailure(spec_.engine, failure);
  End(RunOutcome::kBroken);
}

void ItemRun::End(RunOutcome outcome) {
  Cancel();
  listener_.OnRunEnded(*this, outcome);
}

}  // namespace briarspread::batch
