#ifndef BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
#define BRIARSPREAD_FORWARD_FORWARD_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "briarspread/observe/histogram.h"

namespace briarspread::forward {

/// Counts of the data path. Loop's thread only.
struct ForwardMetrics {
  /// Answers to callers by status.
  std::map<int, std::uint64_t> answers;
  /// Sends to upstreams beyond the first of a request.
  std::uint64_t retries = 0;
  /// Failed exchanges by fault.
  std::map<std::string, std::uint64_t> faults;
  /// Requests refused without a send.
  std::uint64_t refused = 0;
  /// Callers that went before their answer.
  std::uint64_t callers_gone = 0;
  /// Seconds from a request to its answer.
  Histogram latency;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_FORWARD_METRICS_H_
