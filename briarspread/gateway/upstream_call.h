#ifndef BRIARSPREAD_GATEWAY_UPSTREAM_CALL_H_
#define BRIARSPREAD_GATEWAY_UPSTREAM_CALL_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/completion_stream.h"
#include "briarspread/gateway/gateway_context.h"
#include "briarspread/gateway/pool_gates.h"
#include "briarspread/routing/refusal_tracker.h"
#include "briarspread/routing/router.h"

namespace briarspread {

/// A request to be sent to an upstream.
struct CallSpec {
  /// The requirements for choosing an upstream.
  RouteRequest route;
  /// HTTP method and path at the upstream.
  std::string method = "POST";
  std::string path;
  /// Headers to forward.
  std::vector<Header> headers;
  std::string body;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Time at which the caller stops waiting.
  TimePoint deadline;
  /// Priority by the rules, from 0 (served first) to 9.
  int priority_level = 5;
  /// Whether the answer is a stream of completion chunks.
  bool stream = false;
  /// Trace context of the caller, if it sent one.
  std::optional<TraceContext> trace;
};

/// The result of a request after all attempts.
struct CallResult {
  /// Whether the request ran.
  Verdict verdict = Verdict::kNotRun;
  /// The HTTP status, content type and body of the answer; valid if the verdict
  /// is `kAnswered`.
  int status = 0;
  std::string content_type = "application/json";
  std::string body;
  /// The weight versions that produced the answer, formatted as for the header.
  std::string version_names;
  /// The weight versions that produced the answer, as spans of token indexes.
  /// For completions only.
  std::vector<VersionSpan> versions;
  /// Whether the weight version of every token is known.
  bool has_all_versions = false;
  /// The upstream that answered.
  UpstreamId upstream;
  /// The error; valid unless the verdict is `kAnswered`.
  Error error;
  /// The number of exchanges made.
  int attempts = 0;
};

/// Receives the complete events of a stream as they arrive. Returns false to
/// cancel the request.
using EventSink = std::function<bool(std::string_view events)>;

/// Sends requests to upstreams: chooses an upstream, makes the exchange, and
/// retries if the verdict allows it. Thread-safe.
class UpstreamCaller {
 public:
  /// Precondition: all arguments outlive this object.
  UpstreamCaller(const GatewayContext& context, Router& router,
                 UpstreamClient& client, PoolGates& gates,
                 RefusalTracker& refusals);

  /// Runs one request with all its attempts. `sink` receives the events of a
  /// stream; it may be empty if `spec.stream` is false.
  CallResult Run(const CallSpec& spec, const EventSink& sink);

 private:
  /// A chosen upstream.
  struct Target {
    UpstreamId id;
    Endpoint endpoint;
    std::shared_ptr<UpstreamCounters> counters;
    /// Null if the upstream has no circuit breaker.
    std::shared_ptr<CircuitBreaker> breaker;
  };
  std::optional<Target> Choose(const RouteRequest& route) const;
  CallResult RunAdmitted(const CallSpec& spec, const EventSink& sink);
  /// Reports the outcome of an exchange to the circuit breaker, the refusal
  /// tracker and the counters.
  void RecordOutcome(const Target& target, const ExchangeOutcome& outcome,
                     Verdict verdict, Duration latency);
  CallResult Attempt(const CallSpec& spec, const Target& target,
                     CompletionStream& stream, const EventSink& sink);
  UpstreamRequest MakeRequest(const CallSpec& spec, const Target& target,
                              const CompletionStream& stream,
                              const std::string& exchange) const;

  const GatewayContext context_;
  Router& router_;
  UpstreamClient& client_;
  /// Admits requests to each model and service.
  PoolGates& gates_;
  /// Tracks which upstreams refuse requests.
  RefusalTracker& refusals_;
  /// The id of the last exchange.
  std::atomic<std::uint64_t> last_exchange_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_UPSTREAM_CALL_H_
