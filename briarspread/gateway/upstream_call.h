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

/// One request, as the data path sees it.
struct CallSpec {
  /// What it needs of an upstream.
  RouteRequest route;
  /// HTTP method and path at the upstream.
  std::string method = "POST";
  std::string path;
  /// Headers passed on.
  std::vector<Header> headers;
  /// The body.
  std::string body;
  /// Whether it may run more than once.
  bool idempotent = false;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// Rank by the rules, from 0, served first, to 9.
  int priority_level = 5;
  /// Whether the answer is a stream of completion chunks.
  bool stream = false;
  /// The hop that this request came from; empty where none was named.
  std::optional<TraceContext> trace;
};

/// What came of a request after all attempts.
struct CallResult {
  /// Whether it ran.
  Verdict verdict = Verdict::kNotRun;
  /// The answer's status and body, where `kAnswered`.
  int status = 0;
  std::string content_type = "application/json";
  std::string body;
  /// The names of the versions that produced it, as the header lists them.
  std::string version_names;
  /// The versions that produced it, by token, for completions.
  std::vector<VersionSpan> versions;
  /// Whether every token named its version.
  bool has_all_versions = false;
  /// The upstream that answered.
  UpstreamId upstream;
  /// Why it failed, where not `kAnswered`.
  Error error;
  /// Exchanges made.
  int attempts = 0;
};

/// Takes complete events of a stream as they arrive; false cancels.
using EventSink = std::function<bool(std::string_view events)>;

/// Sends requests to upstreams: chooses one, exchanges, and sends again where
/// the verdict allows. Thread-safe.
class UpstreamCaller {
 public:
  /// Precondition: all arguments outlive this object.
  UpstreamCaller(const GatewayContext& context, Router& router,
                 UpstreamClient& client, PoolGates& gates,
                 RefusalTracker& refusals);

  /// Runs one request to its end. `sink` takes a stream's events; it may be
  /// empty where `spec.stream` is off.
  CallResult Run(const CallSpec& spec, const EventSink& sink);

 private:
  /// One chosen upstream.
  struct Target {
    UpstreamId id;
    Endpoint endpoint;
    std::shared_ptr<UpstreamCounters> counters;
    /// Null for none.
    std::shared_ptr<CircuitBreaker> breaker;
  };
  std::optional<Target> Choose(const RouteRequest& route) const;
  CallResult RunAdmitted(const CallSpec& spec, const EventSink& sink);
  /// Tells the breaker, the refusal watch and the counts what came of an
  /// exchange.
  void NoteOutcome(const Target& target, const ExchangeOutcome& outcome,
                   Verdict verdict, Duration latency);
  CallResult Attempt(const CallSpec& spec, const Target& target,
                     CompletionStream& stream, const EventSink& sink);
  UpstreamRequest MakeRequest(const CallSpec& spec, const Target& target,
                              const CompletionStream& stream,
                              const std::string& exchange) const;

  /// Rules, upstreams, metrics, traces.
  const GatewayContext context_;
  /// Chooses upstreams.
  Router& router_;
  /// Carries exchanges.
  UpstreamClient& client_;
  /// Admits requests to each model and service.
  PoolGates& gates_;
  /// Learns which upstreams take no work.
  RefusalTracker& refusals_;
  /// The last exchange's id.
  std::atomic<std::uint64_t> last_exchange_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_UPSTREAM_CALL_H_
