#include "briarspread/gateway/live_handler.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/core/http_headers.h"
#include "briarspread/core/rendezvous.h"
#include "briarspread/transport/http_server.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kRetryAfterNotReady{2000};
constexpr milliseconds kMaxDeadline{3'600'000};
constexpr std::size_t kPrefixBytes = 256;

Error BadRequest(const std::string& message) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, message};
}

/// Counts a request as in flight for the lifetime of this object.
class InFlight {
 public:
  explicit InFlight(ControlState& state) : state_(state) { ++state_.in_flight; }
  ~InFlight() { --state_.in_flight; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  ControlState& state_;
};

Result<std::optional<milliseconds>> ReadDeadline(const httplib::Request& in) {
  if (!in.has_header(headers::kDeadline)) return std::optional<milliseconds>{};
  const std::string text = in.get_header_value(headers::kDeadline);
  std::int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n <= 0 ||
      n > kMaxDeadline.count()) {
    return BadRequest(std::string(headers::kDeadline) + ": found '" + text +
                      "', allowed: milliseconds from 1 to " +
                      std::to_string(kMaxDeadline.count()));
  }
  return std::optional<milliseconds>(milliseconds(n));
}

Json ErrorEvent(const CallResult& result) {
  return {{"error",
           {{"code", ToString(result.error.code)},
            {"message", result.error.message}}},
          {"verdict", ToString(result.verdict)}};
}

Json EndEvent(const CallResult& result) {
  return {{"verdict", ToString(result.verdict)},
          {"weight_versions", FormatVersions(result.versions)},
          {"upstream", result.upstream.value()}};
}

}  // namespace

LiveHandler::LiveHandler(const GatewayContext& context, UpstreamCaller& caller,
                         KeyedRequestRunner& keyed, const PeerDirectory& peers)
    : context_(context),
      caller_(caller),
      keyed_(keyed),
      peers_(peers),
      limits_(RateLimiterSettings{}, context.clock) {}

void LiveHandler::AddRoutes(httplib::Server& routes) {
  routes.Post("/v1/completions",
              [this](const auto& in, auto& out) { ServeCompletion(in, out); });
  const auto service = [this](const auto& in, auto& out) {
    ServeService(in, out);
  };
  constexpr char kServicePath[] = R"(/v1/services/([^/]+)(/.*))";
  routes.Get(kServicePath, service);
  routes.Post(kServicePath, service);
  routes.Put(kServicePath, service);
  routes.Delete(kServicePath, service);
}

bool LiveHandler::RefuseIfNotReady(httplib::Response& out) const {
  const bool draining = context_.state.draining.load();
  if (!draining && context_.state.has_rules.load()) return false;
  const Error error{ErrorCode::kUnavailable, Verdict::kNotRun,
                    draining ? "the instance is shutting down"
                             : "the instance has no rules yet",
                    kRetryAfterNotReady};
  out.set_header("Connection", "close");
  RespondError(out, HttpStatusOf(error.code), error);
  return true;
}

Result<CallSpec> LiveHandler::MakeSpec(const httplib::Request& in,
                                       InstanceKind kind,
                                       const std::string& serves) const {
  const auto deadline = ReadDeadline(in);
  if (!IsOk(deadline)) return ErrorOf(deadline);
  const CustomerId customer(in.get_header_value(headers::kCustomer));
  const RequestClass request_class(in.get_header_value(headers::kRequestClass));
  const auto rules = context_.state.rules.Read();
  if (!rules->MayUse(request_class, serves)) {
    return Error{ErrorCode::kForbidden, Verdict::kNotRun,
                 "the rules do not let class '" + request_class.value() +
                     "' use '" + serves + "'"};
  }
  const PriorityRule priority = rules->PriorityOf(customer, request_class);
  CallSpec spec;
  spec.route.kind = kind;
  spec.route.serves = serves;
  spec.route.request_class = request_class;
  spec.method = in.method;
  spec.body = in.body;
  spec.idempotent = rules->IsIdempotent(ServiceName(serves), in.method);
  spec.deadline =
      context_.clock.Now() + ValueOf(deadline).value_or(priority.deadline);
  if (in.has_header(headers::kIdempotencyKey)) {
    spec.headers.push_back({headers::kIdempotencyKey,
                            in.get_header_value(headers::kIdempotencyKey)});
  }
  spec.trace = ParseTraceParent(in.get_header_value(headers::kTraceParent));
  spec.priority_level = priority.level;
  return spec;
}

void LiveHandler::ServeCompletion(const httplib::Request& in,
                                  httplib::Response& out) {
  if (RefuseIfNotReady(out)) return;
  Json body = Json::parse(in.body, nullptr, false);
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string() || !body.contains("prompt") ||
      !body["prompt"].is_string()) {
    const Error error = BadRequest(
        "the body must be a JSON object with the strings model and prompt");
    RespondError(out, HttpStatusOf(error.code), error);
    return;
  }
  auto spec = MakeSpec(in, InstanceKind::kModelEngine,
                       body["model"].get<std::string>());
  if (!IsOk(spec)) {
    RespondError(out, HttpStatusOf(ErrorOf(spec).code), ErrorOf(spec));
    return;
  }
  CallSpec& call = ValueOf(spec);
  call.path = "/v1/completions";
  body["priority"] = call.priority_level;
  call.body = body.dump();
  call.stream = body.contains("stream") && body["stream"] == true;
  const std::string prompt = body["prompt"].get<std::string>();
  call.route.prefix_hash =
      StableHash(std::string_view{prompt}.substr(0, kPrefixBytes));
  const bool is_keyed =
      !call.idempotent && in.has_header(headers::kIdempotencyKey);
  if (call.stream && !is_keyed) {
    AnswerStream(call, in, out);
  } else {
    Answer(call, in, out);
  }
}

void LiveHandler::ServeService(const httplib::Request& in,
                               httplib::Response& out) {
  if (RefuseIfNotReady(out)) return;
  auto spec = MakeSpec(in, InstanceKind::kPlainService, in.matches[1]);
  if (!IsOk(spec)) {
    RespondError(out, HttpStatusOf(ErrorOf(spec).code), ErrorOf(spec));
    return;
  }
  ValueOf(spec).path = in.matches[2];
  Answer(ValueOf(spec), in, out);
}

bool LiveHandler::IsForwarded(const httplib::Request& in) const {
  return in.has_header(headers::kForwardedBy) &&
         peers_.IsSigned(in.target, in.body,
                         in.get_header_value(headers::kPeerSignature));
}

Result<RatePermit> LiveHandler::AcquireRatePermit(const CallSpec& spec,
                                                  const httplib::Request& in) {
  if (IsForwarded(in)) return RatePermit();
  const CustomerId customer(in.get_header_value(headers::kCustomer));
  const RequestClass& request_class = spec.route.request_class;
  const auto limit =
      context_.state.rules.Read()->LimitOf(customer, request_class);
  const std::uint32_t instances = context_.state.instances.load();
  limits_.SetInstances(instances);
  return limits_.Enter(customer, request_class, limit);
}

void LiveHandler::RecordResult(const CallSpec& spec, const CallResult& result,
                               TimePoint start, Span& span) {
  span.Set("class", spec.route.request_class.value());
  span.Set("verdict", std::string(ToString(result.verdict)));
  span.Set("attempts", std::to_string(result.attempts));
  context_.metrics.CountRequest(spec.route.request_class.value(),
                                result.verdict, context_.clock.Now() - start);
}

KeyedRequest LiveHandler::MakeKeyedRequest(const CallSpec& spec,
                                           const httplib::Request& in) const {
  KeyedRequest request;
  request.spec = spec;
  request.key = RequestKey(in.get_header_value(headers::kIdempotencyKey));
  const std::string created_in = in.get_header_value(headers::kCreatedIn);
  std::uint64_t epoch = 0;
  std::from_chars(created_in.data(), created_in.data() + created_in.size(),
                  epoch);
  request.created_in = Epoch(epoch);
  request.entry_path = in.target;
  request.entry_body = in.body;
  for (const char* name : {headers::kIdempotencyKey, headers::kCustomer,
                           headers::kRequestClass, headers::kCreatedIn}) {
    if (!in.has_header(name)) continue;
    request.entry_headers.push_back({name, in.get_header_value(name)});
  }
  request.is_forwarded = IsForwarded(in);
  return request;
}

CallResult LiveHandler::RunUnstreamed(const CallSpec& spec,
                                      const httplib::Request& in) {
  if (spec.idempotent || !in.has_header(headers::kIdempotencyKey)) {
    return caller_.Run(spec, {});
  }
  return keyed_.Run(MakeKeyedRequest(spec, in));
}

void LiveHandler::Answer(CallSpec spec, const httplib::Request& in,
                         httplib::Response& out) {
  const InFlight in_flight(context_.state);
  const TimePoint start = context_.clock.Now();
  Span span = context_.tracer.Start("request", spec.trace);
  spec.trace = span.context();
  const auto permit = AcquireRatePermit(spec, in);
  CallResult result;
  if (IsOk(permit)) {
    result = RunUnstreamed(spec, in);
  } else {
    result.error = ErrorOf(permit);
  }
  RecordResult(spec, result, start, span);
  out.set_header(headers::kInstance, context_.self.value());
  out.set_header(headers::kCreatedIn, std::to_string(keyed_.epoch().value()));
  if (result.verdict != Verdict::kAnswered) {
    RespondError(out, HttpStatusOf(result.error.code), result.error);
    return;
  }
  out.set_header(headers::kVerdict, std::string(ToString(result.verdict)));
  out.set_header(headers::kUpstream, result.upstream.value());
  if (!result.version_names.empty()) {
    out.set_header(headers::kWeightVersions, result.version_names);
  }
  out.status = result.status;
  out.set_content(result.body, result.content_type);
}

void LiveHandler::AnswerStream(const CallSpec& call, const httplib::Request& in,
                               httplib::Response& out) {
  const auto permit = AcquireRatePermit(call, in);
  if (!IsOk(permit)) {
    RespondError(out, HttpStatusOf(ErrorOf(permit).code), ErrorOf(permit));
    return;
  }
  out.set_header(headers::kInstance, context_.self.value());
  out.set_chunked_content_provider(
      "text/event-stream",
      [this, spec = call, permit](std::size_t /*offset*/,
                                  httplib::DataSink& sink) mutable {
        const InFlight in_flight(context_.state);
        const TimePoint start = context_.clock.Now();
        Span span = context_.tracer.Start("request", spec.trace);
        spec.trace = span.context();
        // The end marker is withheld, since the event with the verdict must
        // precede it.
        constexpr std::string_view kEnd = "data: [DONE]\n\n";
        const EventSink pass_on = [&sink, kEnd](std::string_view events) {
          if (events.ends_with(kEnd)) events.remove_suffix(kEnd.size());
          return events.empty() || sink.write(events.data(), events.size());
        };
        const CallResult result = caller_.Run(spec, pass_on);
        RecordResult(spec, result, start, span);
        const bool whole = result.verdict == Verdict::kAnswered;
        const Json event = whole ? EndEvent(result) : ErrorEvent(result);
        std::string tail = std::string("event: ") +
                           (whole ? "briarspread" : "error") +
                           "\ndata: " + event.dump() + "\n\n";
        if (whole) tail += kEnd;
        sink.write(tail.data(), tail.size());
        sink.done();
        return true;
      });
}

}  // namespace briarspread
