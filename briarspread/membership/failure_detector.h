#ifndef BRIARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
#define BRIARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Settings of `FailureDetector`.
struct FailureDetectorSettings {
  /// Timeout of a probe.
  milliseconds probe_timeout{1000};
  /// Number of consecutive unanswered probes that make a member suspect.
  std::uint32_t probes = 2;
  /// Number of consecutive unanswered probes after which a member is no longer
  /// probed again. Until then a suspect is still probed, since the probe
  /// informs it of the suspicion and its answer refutes it, on the shortest
  /// path.
  std::uint32_t max_probes = 10;
};

/// Tracks unanswered probes. Members probe each other round-robin, so that the
/// cost per node does not grow with the fleet (Das, Gupta, Motivala, "SWIM",
/// 2002). Not thread-safe.
class FailureDetector {
 public:
  /// The consequences of overdue probes.
  struct Overdue {
    /// Members to probe again.
    std::vector<InstanceId> retry;
    /// Members that just reached the number of unanswered probes to be suspect.
    std::vector<InstanceId> failed;
  };

  /// Precondition: `clock` outlives this object.
  FailureDetector(const FailureDetectorSettings& settings, const Clock& clock);

  /// Records that a probe of `id` with `sequence` was sent.
  void OnProbeSent(const InstanceId& id, std::uint64_t sequence);
  /// Records that `id` acknowledged the probe with `sequence`. Returns false
  /// and changes nothing unless that probe is outstanding, so that a replayed
  /// digest does not make a dead member count as alive.
  bool OnAcknowledged(const InstanceId& id, std::uint64_t sequence);
  /// Returns the consequences of the probes that are overdue now. A member is
  /// returned as failed once until it acknowledges a probe.
  Overdue TakeOverdue();
  /// Drops all probes. Called after this instance itself was paused.
  void Clear() { outstanding_.clear(); }

 private:
  /// The probes of one member since its last acknowledgement.
  struct Outstanding {
    std::uint64_t first_sequence = 0;
    std::uint64_t last_sequence = 0;
    std::uint32_t probes = 0;
    TimePoint sent_at;
  };

  const FailureDetectorSettings settings_;
  const Clock& clock_;
  std::map<InstanceId, Outstanding> outstanding_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
