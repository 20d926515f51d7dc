#ifndef BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
#define BRIARSPREAD_FORWARD_FORWARD_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "briarspread/observe/histogram.h"
#include "briarspread/observe/prometheus_writer.h"

namespace briarspread::forward {

/// Counts of one route.
struct RouteMetrics {
  /// Answers by status.
  std::map<int, std::uint64_t> answers;
  /// Answers of success within the route's latency goal.
  std::uint64_t in_goal = 0;
  /// Seconds from a request to its answer.
  Histogram latency;
};

/// Counts of the data path. Loop's thread only.
struct ForwardMetrics {
  std::map<std::string, RouteMetrics> routes;
  /// Sends to upstreams beyond the first of a request.
  std::uint64_t retries = 0;
  /// Streams that went on at another upstream.
  std::uint64_t resumed_streams = 0;
  /// Failed exchanges by fault.
  std::map<std::string, std::uint64_t> faults;
  /// Requests given up, by reason.
  std::map<std::string, std::uint64_t> refusals;
  /// Callers that went before their answer.
  std::uint64_t callers_gone = 0;
  /// Seconds that a request spent at an upstream, attempts that failed too.
  Histogram upstream_time;
  /// Seconds from a request's arrival to its first send.
  Histogram wait_time;
};

/// Writes the counts as text.
void Write(const ForwardMetrics& metrics, PrometheusWriter& out);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
