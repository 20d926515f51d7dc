#ifndef BRIARSPREAD_DUTIES_USAGE_DIGEST_H_
#define BRIARSPREAD_DUTIES_USAGE_DIGEST_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/duties/true_time.h"
#include "briarspread/duties/usage_counts.h"

namespace briarspread::duties {

/// What instances exchange about usage, as a message and as its answer.
struct UsageDigest {
  InstanceId from;
  ClockReading clock;
  /// The window in which the fleet started, as far as the sender knows; zero
  /// for not known.
  UsageWindow first_window;
  /// The first window whose report may not be decided yet; zero for not known.
  UsageWindow open_window;
  std::vector<SourceCounts> counts;
};

/// Convert a digest to and from CBOR. Parsing returns nullopt for malformed
/// bytes. Thread-safe.
std::string Encode(const UsageDigest& digest);
std::optional<UsageDigest> ParseUsageDigest(const std::string& bytes);

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_DIGEST_H_
