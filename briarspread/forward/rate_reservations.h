#ifndef BRIARSPREAD_FORWARD_RATE_RESERVATIONS_H_
#define BRIARSPREAD_FORWARD_RATE_RESERVATIONS_H_

#include <map>

#include "briarspread/forward/upstream_limits.h"

namespace briarspread::forward {

/// Settings of `RateReservations`.
struct RateReservationsSettings {
  /// A lower limit counts as this one, so that an upstream still gets a request
  /// now and then, whose response shows when the limit has ended.
  RequestRate min_rate{0.25};
  /// How long the schedule of an upstream is kept after its last reservation.
  seconds retention{30};
};

/// Schedules the requests of all instances to limited upstreams: each request
/// reserves the next moment at which the limit leaves room for it. Requests are
/// spaced evenly, and unused time is not saved up, so that no burst follows a
/// pause. Only the keeper of an upstream's limit schedules its requests; a new
/// keeper starts without credit. Not thread-safe.
class RateReservations final {
 public:
  struct Reservation {
    bool is_granted = false;
    /// Time until the reserved moment; if none was reserved, the time after
    /// which to ask again.
    Duration wait{0};
  };

  /// Precondition: `clock` outlives this object.
  RateReservations(const RateReservationsSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  /// Reserves the next free moment for a request to `start`, whose limit is
  /// `rate`, unless it is further away than `max_wait`.
  Reservation Reserve(const UpstreamStart& start, RequestRate rate,
                      Duration max_wait);
  /// Drops the schedules of upstreams that nobody asks for any more. Must be
  /// called periodically.
  void DropOld();

 private:
  struct Schedule {
    std::uint64_t start_id = 0;
    /// The next moment that is not reserved.
    TimePoint next_free{};
    /// The next moment for which nobody was told to ask again.
    TimePoint next_retry{};
  };

  Schedule& ScheduleOf(const UpstreamStart& start, Duration interval);

  const RateReservationsSettings settings_;
  const Clock& clock_;
  std::map<UpstreamId, Schedule> schedules_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RATE_RESERVATIONS_H_
