#include "briarspread/gateway/upstream_call.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/contracts/exchange_verdict.h"
#include "briarspread/core/http_headers.h"
#include "briarspread/routing/load_estimate.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 3;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr milliseconds kRetryAfterNoUpstream{1000};

/// Forwards complete events to a sink and feeds the data to a
/// `CompletionStream`.
class StreamReceiver final : public ResponseReceiver {
 public:
  StreamReceiver(CompletionStream& stream, const EventSink& sink)
      : stream_(stream), sink_(sink) {}
  bool OnHead(int status, const std::vector<Header>& /*headers*/) override {
    status_ = status;
    return true;
  }
  bool OnData(std::string_view data) override {
    if (status_ >= 400) {
      error_body_.append(data);
      return true;
    }
    const std::string events = stream_.Feed(data);
    if (stream_.is_malformed()) return false;
    return events.empty() || sink_(events);
  }

 private:
  CompletionStream& stream_;
  const EventSink& sink_;
  int status_ = 0;
  std::string error_body_;
};

/// Whether the status means that the upstream did not run the request.
bool IsRefusal(int status) {
  return status == kHttpTooManyRequests || status == kHttpUnavailable;
}

/// Counts an exchange as in flight for the lifetime of this object.
class InFlightCount {
 public:
  InFlightCount(UpstreamCounters& counters, bool is_rollout)
      : counters_(counters), is_rollout_(is_rollout) {
    ++counters_.in_flight;
    if (is_rollout_) ++counters_.rollouts_in_flight;
  }
  ~InFlightCount() {
    --counters_.in_flight;
    if (is_rollout_) --counters_.rollouts_in_flight;
  }
  InFlightCount(const InFlightCount&) = delete;
  InFlightCount& operator=(const InFlightCount&) = delete;

 private:
  UpstreamCounters& counters_;
  const bool is_rollout_;
};

/// Returns the body of a request that resumes an interrupted stream at its next
/// token.
std::string ResumeBody(const std::string& body,
                       const CompletionStream& stream) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return body;
  json["resume_offset"] = stream.next_token();
  json["resume_text"] = stream.text();
  return json.dump();
}

void ReadVersions(const std::string& body, CallResult& result) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("weight_versions")) return;
  for (const Json& span : json["weight_versions"]) {
    result.versions.push_back(
        {WeightVersion(span.value("version", std::uint64_t{0})),
         span.value("begin", 0U), span.value("end", 0U)});
  }
  result.has_all_versions = !result.versions.empty();
}

}  // namespace

UpstreamCaller::UpstreamCaller(const GatewayContext& context, Router& router,
                               UpstreamClient& client, PoolGates& gates,
                               RefusalTracker& refusals)
    : context_(context),
      router_(router),
      client_(client),
      gates_(gates),
      refusals_(refusals) {}

std::optional<UpstreamCaller::Target> UpstreamCaller::Choose(
    const RouteRequest& route) const {
  const auto table = context_.state.routing.Read();
  const auto rules = context_.state.rules.Read();
  const auto index = router_.Choose(route, *table, *rules);
  if (!index.has_value()) return std::nullopt;
  const UpstreamView& chosen = table->upstreams[*index];
  return Target{UpstreamId(chosen.listed.name), chosen.listed.endpoint,
                chosen.counters, chosen.breaker};
}

UpstreamRequest UpstreamCaller::MakeRequest(const CallSpec& spec,
                                            const Target& target,
                                            const CompletionStream& stream,
                                            const std::string& exchange) const {
  UpstreamRequest request;
  request.endpoint = target.endpoint;
  request.method = spec.method;
  request.path = spec.path;
  request.headers = spec.headers;
  request.headers.push_back({headers::kExchange, exchange});
  request.body = spec.body;
  if (stream.next_token() > 0) request.body = ResumeBody(spec.body, stream);
  request.may_reuse_connection = spec.idempotent;
  request.timeout = std::chrono::duration_cast<milliseconds>(
      spec.deadline - context_.clock.Now());
  return request;
}

CallResult UpstreamCaller::Attempt(const CallSpec& spec, const Target& target,
                                   CompletionStream& stream,
                                   const EventSink& sink) {
  const std::string exchange = std::to_string(++last_exchange_);
  Span span = context_.tracer.Start("upstream", spec.trace);
  span.Set("upstream", target.id.value());
  UpstreamRequest request = MakeRequest(spec, target, stream, exchange);
  request.headers.push_back({headers::kTraceParent, span.context().ToHeader()});

  StreamReceiver receiver(stream, sink);
  const TimePoint start = context_.clock.Now();
  ++context_.metrics.exchanges;
  ExchangeOutcome outcome;
  {
    const InFlightCount count(*target.counters, spec.route.is_rollout);
    outcome = client_.Exchange(request, spec.stream ? &receiver : nullptr);
  }
  CallResult result;
  result.verdict = VerdictOf(outcome);
  RecordOutcome(target, outcome, result.verdict, context_.clock.Now() - start);
  result.upstream = target.id;
  result.status = outcome.status;
  const std::string echoed = FindHeader(outcome.headers, headers::kExchange);
  const bool is_mismatched = !echoed.empty() && echoed != exchange;
  const bool is_truncated =
      spec.stream && outcome.status < 400 && !stream.is_whole();
  if (result.verdict == Verdict::kAnswered && (is_mismatched || is_truncated)) {
    result.verdict = Verdict::kMayHaveRun;
    outcome.failure =
        is_mismatched ? "answer of another exchange" : "stream cut";
  }
  span.Set("verdict", std::string(ToString(result.verdict)));
  if (result.verdict != Verdict::kAnswered) {
    if (is_mismatched || is_truncated) ++context_.metrics.dropped_answers;
    result.error = Error{ErrorCode::kUnavailable, result.verdict,
                         target.id.value() + ": " + outcome.failure,
                         kRetryAfterNoUpstream};
    return result;
  }
  result.body = std::move(outcome.body);
  if (spec.stream) {
    result.versions = stream.spans();
    result.has_all_versions = stream.has_all_versions();
  } else {
    ReadVersions(result.body, result);
    const std::string type = FindHeader(outcome.headers, "Content-Type");
    if (!type.empty()) result.content_type = type;
  }
  result.version_names = FormatVersions(result.versions);
  return result;
}

void UpstreamCaller::RecordOutcome(const Target& target,
                                   const ExchangeOutcome& outcome,
                                   Verdict verdict, Duration latency) {
  const TimePoint now = context_.clock.Now();
  if (outcome.stage == ExchangeStage::kEnded && IsRefusal(outcome.status)) {
    refusals_.OnRefusal(target.id, *target.counters, now);
  }
  if (verdict == Verdict::kAnswered) {
    RecordServiceTime(*target.counters, latency);
  }
  if (target.breaker == nullptr || outcome.cancelled) return;
  if (verdict == Verdict::kAnswered) {
    target.breaker->OnSuccess(now);
  } else {
    target.breaker->OnFailure(now);
  }
}

CallResult UpstreamCaller::Run(const CallSpec& spec, const EventSink& sink) {
  AdmissionRequest request;
  request.request_class = spec.route.request_class;
  request.level = spec.priority_level;
  request.is_rollout = spec.route.is_rollout;
  request.queue_length =
      context_.state.rules.Read()->QueueLengthOf(spec.route.request_class);
  const auto permit = gates_.Enter(spec.route.serves, request, spec.deadline);
  if (IsOk(permit)) return RunAdmitted(spec, sink);
  ++context_.metrics.refused;
  CallResult refused;
  refused.error = ErrorOf(permit);
  return refused;
}

CallResult UpstreamCaller::RunAdmitted(const CallSpec& spec,
                                       const EventSink& sink) {
  RouteRequest route = spec.route;
  CompletionStream stream;
  CallResult result;
  result.error =
      Error{ErrorCode::kUnavailable, Verdict::kNotRun,
            "no upstream serves " + route.serves, kRetryAfterNoUpstream};
  Verdict combined = Verdict::kNotRun;
  // No retry after the caller has disconnected.
  bool sink_closed = false;
  const EventSink watched_sink = [&](std::string_view events) {
    sink_closed = !sink(events);
    return !sink_closed;
  };
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (context_.clock.Now() >= spec.deadline) {
      result.error.code = ErrorCode::kDeadlineExceeded;
      break;
    }
    const auto target = Choose(route);
    if (!target.has_value()) break;
    result = Attempt(spec, *target, stream, watched_sink);
    result.attempts = i + 1;
    if (result.verdict == Verdict::kAnswered) return result;
    combined = Combine(combined, result.verdict);
    if (!IsRetryable(combined, spec.idempotent)) break;
    if (sink_closed) break;
    ++context_.metrics.retries;
    if (stream.next_token() > 0) ++context_.metrics.resumed_streams;
    stream.DropPartialEvent();
    route.excluded.push_back(target->id);
  }
  result.verdict = combined;
  result.error.verdict = combined;
  return result;
}

}  // namespace briarspread
