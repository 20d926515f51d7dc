#ifndef BRIARSPREAD_DUTIES_TRUE_TIME_H_
#define BRIARSPREAD_DUTIES_TRUE_TIME_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::duties {

/// What an instance tells another about the time.
struct ClockReading {
  /// Time by its own wall clock without recent jumps.
  WallTime own;
  /// Median of the clocks that it knows.
  WallTime estimate;
  /// Number of clocks that the median was taken of.
  std::uint32_t clock_count = 1;
};

/// Settings of `TrueTime`.
struct TrueTimeSettings {
  /// Largest change of the own wall clock between two samples that is followed
  /// immediately, as drift.
  milliseconds max_drift{100};
  /// Time after which a jump of the own wall clock is taken as a correction.
  seconds jump_hold{300};
  /// Change of a peer's reading that delays on the network do not explain.
  milliseconds max_delay{250};
  /// Amount by which a held reading is lowered before it is compared with the
  /// next, so that it follows a clock that drifts backwards.
  milliseconds held_decay{1};
  /// Age from which a peer's reading no longer counts.
  seconds reading_validity{60};
  /// Time after the start from which the estimate is used even if few clocks
  /// are known.
  seconds settle_time{2};
  /// Number of clocks of which the median is trusted earlier.
  std::uint32_t settled_clock_count = 3;
};

/// Estimates true time as an offset to the machine's monotonic clock including
/// suspension. The offset is the median of the own wall clock and those of
/// peers, or the median of a peer that knows more clocks. A jump of the own
/// wall clock is ignored until it has lasted for `jump_hold`. A reading of a
/// peer is late by its delay on the network, so the latest of them counts.
/// Loop's thread only.
class TrueTime final {
 public:
  /// Precondition: `clock` outlives this object.
  TrueTime(const TrueTimeSettings& settings, const Clock& clock);

  /// Reads the own wall clock. To be called about once a second or more often.
  void Sample();
  /// Returns the reading for a peer.
  ClockReading Read() const;
  /// Adds a peer's reading, taken at `taken_at` of `NowWithSuspension`.
  void AddReading(const InstanceId& peer, const ClockReading& reading,
                  TimePoint taken_at);
  /// Whether enough clocks are known, or none will be.
  bool is_settled() const;

  /// Returns the true time at `time` of `NowWithSuspension`.
  WallTime At(TimePoint time) const;
  WallTime Now() const { return At(clock_.NowWithSuspension()); }
  /// When this object was created, by `NowWithSuspension`.
  TimePoint created_at() const { return created_at_; }

 private:
  /// A peer's clocks as offsets to this machine's monotonic clock.
  struct PeerClock {
    Duration own{0};
    Duration estimate{0};
    std::uint32_t clock_count = 0;
    TimePoint received_at{};
  };

  Duration CurrentOwnOffset() const;
  /// Returns what to hold of a clock's offset after another reading of it.
  Duration Follow(Duration held, Duration next) const;
  /// Recomputes the median and the offset in force.
  void Update();

  const TrueTimeSettings settings_;
  const Clock& clock_;
  const TimePoint created_at_;
  Duration own_offset_;
  /// Since when the own wall clock has differed by a jump.
  std::optional<TimePoint> jumped_at_;
  std::map<InstanceId, PeerClock> peers_;
  Duration median_;
  /// The offset in force, and the number of clocks that it is taken of.
  Duration offset_;
  std::uint32_t clock_count_ = 1;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_TRUE_TIME_H_
