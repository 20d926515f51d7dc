#include "briarspread/gateway/keyed_request_runner.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <future>
#include <utility>

#include "briarspread/core/http_headers.h"
#include "briarspread/core/rendezvous.h"
#include "briarspread/gateway/error_body.h"

namespace briarspread {
namespace {

/// Maximum number of attempts of one request, each with a newer home table,
/// before it is refused.
constexpr int kMaxAttempts = 3;
constexpr milliseconds kRetryAfterMove{200};
/// Number of threads that run claimed requests.
constexpr std::size_t kWorkers = 128;
/// Minimum time that a claimed request may run, also if its caller's deadline
/// is earlier.
constexpr seconds kMinRunTime{30};
constexpr milliseconds kRetryAfterNoAnswer{1000};

CallResult Failed(Error error) {
  CallResult result;
  result.verdict = error.verdict;
  result.error = std::move(error);
  return result;
}

Error HomeUnavailable(const Home& home, milliseconds retry_after) {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               home.name.value() + " at " + home.owner.instance.value() +
                   " does not answer; its standby takes over",
               retry_after};
}

KeyedOutcome ToOutcome(const CallResult& result) {
  KeyedOutcome outcome;
  outcome.verdict = result.verdict;
  outcome.status = result.status;
  outcome.body = result.body;
  outcome.headers = {{"Content-Type", result.content_type},
                     {headers::kUpstream, result.upstream.value()},
                     {headers::kWeightVersions, result.version_names}};
  return outcome;
}

CallResult FromOutcome(KeyedOutcome outcome) {
  CallResult result;
  result.verdict = outcome.verdict;
  result.status = outcome.status;
  result.body = std::move(outcome.body);
  result.content_type = FindHeader(outcome.headers, "Content-Type");
  result.upstream = UpstreamId(FindHeader(outcome.headers, headers::kUpstream));
  result.version_names = FindHeader(outcome.headers, headers::kWeightVersions);
  return result;
}

/// Returns the answer of the key's home, or an error if there is none. If the
/// answer is incomplete, the home may have run the request.
CallResult FromExchange(ExchangeOutcome exchange, const Home& home) {
  if (exchange.stage <= ExchangeStage::kConnecting) {
    return Failed(HomeUnavailable(home, kRetryAfterNoAnswer));
  }
  if (exchange.stage != ExchangeStage::kEnded) {
    return Failed(Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
                        home.name.value() + ": " + exchange.failure,
                        kRetryAfterNoAnswer});
  }
  const std::string verdict = FindHeader(exchange.headers, headers::kVerdict);
  if (ParseVerdict(verdict) != Verdict::kAnswered) {
    return Failed(ParseErrorBody(exchange.body));
  }
  return FromOutcome({Verdict::kAnswered, exchange.status,
                      std::move(exchange.headers), std::move(exchange.body)});
}

}  // namespace

/// The thread pool that runs claimed requests.
class KeyedRequestRunner::Workers {
 public:
  asio::thread_pool pool{kWorkers};
};

KeyedRequestRunner::KeyedRequestRunner(const GatewayContext& context,
                                       UpstreamCaller& caller, HomeAgent& homes,
                                       const PeerDirectory& peers,
                                       UpstreamClient& client)
    : context_(context),
      caller_(caller),
      homes_(homes),
      peers_(peers),
      client_(client),
      workers_(std::make_unique<Workers>()) {}

KeyedRequestRunner::~KeyedRequestRunner() { workers_->pool.join(); }

CallResult KeyedRequestRunner::Run(const KeyedRequest& request) {
  const Fingerprint fingerprint(
      StableHash(request.entry_body, StableHash(request.entry_path)));
  CallResult result;
  for (int i = 0; i < kMaxAttempts; ++i) {
    ClaimDecision answer = homes_.at_most_once().Begin(
        request.key, fingerprint, request.created_in, request.spec.deadline);
    if (std::holds_alternative<RunRequest>(answer)) return RunLocally(request);
    if (auto* stored = std::get_if<StoredResponse>(&answer)) {
      return FromOutcome(std::move(stored->outcome));
    }
    if (auto* refused = std::get_if<Refused>(&answer)) {
      return Failed(std::move(refused->error));
    }
    const Home home = std::get<NotOwner>(answer).home;
    result = Failed(Error{ErrorCode::kStale, Verdict::kNotRun,
                          "the key's home has moved", kRetryAfterMove});
    if (request.is_forwarded) return result;
    if (home.owner.instance != context_.self) result = Forward(request, home);
    if (result.error.code != ErrorCode::kStale) return result;
    homes_.at_most_once().Refresh();
  }
  return result;
}

CallResult KeyedRequestRunner::RunLocally(const KeyedRequest& request) {
  KeyedRequest extended = request;
  extended.spec.deadline =
      std::max(request.spec.deadline, context_.clock.Now() + kMinRunTime);
  const auto done = std::make_shared<std::promise<CallResult>>();
  auto result = done->get_future();
  ++context_.state.in_flight;
  asio::post(workers_->pool, [this, extended = std::move(extended), done] {
    done->set_value(RunToEnd(extended));
    --context_.state.in_flight;
  });
  const auto left = request.spec.deadline - context_.clock.Now();
  if (result.wait_for(left) == std::future_status::ready) return result.get();
  return Failed(Error{ErrorCode::kDeadlineExceeded, Verdict::kMayHaveRun,
                      "the request still runs; send its key again for the "
                      "answer",
                      kRetryAfterMove});
}

CallResult KeyedRequestRunner::RunToEnd(const KeyedRequest& request) {
  CallResult result;
  if (request.spec.stream) {
    // The home stores the whole answer for retries, so it collects all events.
    std::string events;
    result = caller_.Run(request.spec, [&events](std::string_view data) {
      events.append(data);
      return true;
    });
    result.body = std::move(events);
    result.status = 200;
    result.content_type = "text/event-stream";
  } else {
    result = caller_.Run(request.spec, {});
  }
  homes_.at_most_once().Finish(request.key, ToOutcome(result));
  return result;
}

std::optional<InstanceId> KeyedRequestRunner::FindServer(
    const Home& home) const {
  // An unresponsive instance could run the request later, so nothing is sent to
  // it.
  const InstanceId& owner = home.owner.instance;
  const auto state = homes_.StateOf(owner);
  if (state == ProbeState::kAlive) return owner;
  const bool is_owner_dead = state == ProbeState::kDead;
  if (is_owner_dead && homes_.StateOf(home.standby) == ProbeState::kAlive) {
    return home.standby;
  }
  return std::nullopt;
}

CallResult KeyedRequestRunner::Forward(const KeyedRequest& request,
                                       const Home& home) {
  const auto server = FindServer(home);
  const auto address = server.has_value() ? peers_.Find(*server) : std::nullopt;
  if (!address.has_value()) {
    return Failed(HomeUnavailable(home, kRetryAfterNoAnswer));
  }
  ++context_.metrics.forwarded;
  UpstreamRequest sent;
  sent.endpoint = address->endpoint;
  sent.method = request.spec.method;
  sent.path = request.entry_path;
  sent.body = request.entry_body;
  sent.headers = request.entry_headers;
  sent.timeout = std::chrono::duration_cast<milliseconds>(
      request.spec.deadline - context_.clock.Now());
  if (sent.timeout.count() <= 0) {
    return Failed(Error{ErrorCode::kDeadlineExceeded, Verdict::kNotRun,
                        "the deadline passed before the request was sent"});
  }
  sent.headers.push_back(
      {headers::kDeadline, std::to_string(sent.timeout.count())});
  sent.headers.push_back({headers::kForwardedBy, context_.self.value()});
  peers_.Sign(sent);
  Span span = context_.tracer.Start("forward", request.spec.trace);
  span.Set("home", home.name.value());
  sent.headers.push_back({headers::kTraceParent, span.context().ToHeader()});
  return FromExchange(client_.Exchange(sent, nullptr), home);
}

}  // namespace briarspread
