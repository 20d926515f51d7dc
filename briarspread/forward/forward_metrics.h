#ifndef BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
#define BRIARSPREAD_FORWARD_FORWARD_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "briarspread/observe/histogram.h"
#include "briarspread/observe/prometheus_writer.h"

namespace briarspread::forward {

/// Counters of one route.
struct RouteMetrics {
  /// Responses to callers, by status code.
  std::map<int, std::uint64_t> answers;
  /// Successful responses within the route's latency goal.
  std::uint64_t within_latency_goal = 0;
  /// Seconds from a request's arrival to the end of its response.
  Histogram latency;
};

/// Counters of request forwarding. Must be used on the event loop's thread
/// only.
struct ForwardMetrics {
  std::map<std::string, RouteMetrics> routes;
  /// Attempts beyond the first of each request.
  std::uint64_t retries = 0;
  /// Attempts that resumed a stream at another upstream.
  std::uint64_t resumed_streams = 0;
  /// Failed exchanges by fault.
  std::map<std::string, std::uint64_t> faults;
  /// Refused requests, by reason.
  std::map<std::string, std::uint64_t> refusals;
  /// Exchanges that were to pass through another instance.
  std::uint64_t relayed_exchanges = 0;
  /// Exchanges relayed for other instances, by outcome.
  std::map<std::string, std::uint64_t> relayed_for_peers;
  /// Callers that disconnected before their response had ended.
  std::uint64_t disconnected_callers = 0;
  /// Seconds that each attempt spent at an upstream, failed attempts included.
  Histogram upstream_time;
  /// Seconds from a request's arrival to its first attempt.
  Histogram wait_time;
};

/// Writes the counters in the Prometheus text format.
void Write(const ForwardMetrics& metrics, PrometheusWriter& out);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
