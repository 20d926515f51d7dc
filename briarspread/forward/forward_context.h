#ifndef BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_
#define BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_

#include <asio/io_context.hpp>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/forward/configuration.h"
#include "briarspread/forward/crash_guard.h"
#include "briarspread/forward/exchange_headers.h"
#include "briarspread/forward/forward_metrics.h"
#include "briarspread/forward/upstream_directory.h"
#include "briarspread/proxy/connection_pool.h"
#include "briarspread/routing/router.h"

namespace briarspread::forward {

/// What forwarding works with. All outlive the requests.
struct ForwardContext {
  asio::io_context& loop;
  const Clock& clock;
  RandomSource& random;
  const ExchangeHeaders& headers;
  ConfigurationHolder& configuration;
  UpstreamDirectory& directory;
  Router& router;
  proxy::ConnectionPool& pool;
  CrashGuard& crashes;
  ForwardMetrics& metrics;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_FORWARD_CONTEXT_H_
