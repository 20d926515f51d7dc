#ifndef BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_
#define BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_

#include <asio/io_context.hpp>

#include "briarspread/accounts/usage_recorder.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/memory_budget.h"
#include "briarspread/core/random_source.h"
#include "briarspread/forward/configuration.h"
#include "briarspread/forward/crash_guard.h"
#include "briarspread/forward/exchange_headers.h"
#include "briarspread/forward/forward_metrics.h"
#include "briarspread/forward/request_limiter.h"
#include "briarspread/forward/retry_after_planner.h"
#include "briarspread/forward/stream_origins.h"
#include "briarspread/forward/trial_source.h"
#include "briarspread/forward/upstream_directory.h"
#include "briarspread/forward/upstream_transport.h"
#include "briarspread/routing/router.h"

namespace briarspread::forward {

/// References to the objects that requests share while they are forwarded. All
/// of them must outlive the requests.
struct ForwardContext {
  asio::io_context& loop;
  const Clock& clock;
  RandomSource& random;
  const ExchangeHeaders& headers;
  ConfigurationHolder& configuration;
  UpstreamDirectory& directory;
  Router& router;
  UpstreamTransport& upstreams;
  CrashGuard& crash_guard;
  ForwardMetrics& metrics;
  RetryAfterPlanner& retry_after_planner;
  RequestLimiter& limiter;
  StreamOrigins& stream_origins;
  /// Receives the usage of client accounts; null if it is not recorded.
  accounts::UsageRecorder* usage = nullptr;
  /// The budget for buffered bytes; null for no limit.
  MemoryBudget* memory = nullptr;
  /// Grants trials of refused requests; null if there are none.
  TrialSource* trials = nullptr;
};

/// Records what the head of an upstream's response, to a request sent at
/// `sent`, says about the upstream: its load, its limit, and whether it is
/// leaving. Must be called on the event loop's thread only.
void UpdateFromResponseHead(ForwardContext& context, const UpstreamId& upstream,
                            const proxy::ResponseHead& head, TimePoint sent);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_
