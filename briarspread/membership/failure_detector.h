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
  /// How long a probe may stay unanswered.
  milliseconds probe_timeout{1000};
  /// Unanswered probes in a row that make a member suspect.
  std::uint32_t probes = 2;
  /// Unanswered probes in a row after which no more are sent. Until then the
  /// suspect is probed on, which tells it of the suspicion and fetches its
  /// refutation by the shortest way.
  std::uint32_t max_probes = 10;
};

/// Keeps the probes that were not answered yet. Members probe each other by
/// turns, so that the cost a node does not grow with the fleet (Das, Gupta,
/// Motivala, "SWIM", 2002). Not thread-safe.
class FailureDetector {
 public:
  /// What the overdue probes come to.
  struct Overdue {
    /// Members to be probed again.
    std::vector<InstanceId> retry;
    /// Members that left enough probes unanswered to be suspect.
    std::vector<InstanceId> failed;
  };

  /// Precondition: `clock` outlives this object.
  FailureDetector(const FailureDetectorSettings& settings, const Clock& clock);

  /// A probe with `sequence` was sent.
  void Sent(const InstanceId& id, std::uint64_t sequence);
  /// A probe was acknowledged. Only a sequence that is outstanding counts, so
  /// that a repeated digest of a dead member is no sign of life.
  bool Acknowledged(const InstanceId& id, std::uint64_t sequence);
  /// Probes that are overdue now. Each member fails once until it answers.
  Overdue TakeOverdue();
  /// Forgets all probes, after this instance itself was paused.
  void Forget() { outstanding_.clear(); }

 private:
  /// Probes of one member, since its last acknowledgement.
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
