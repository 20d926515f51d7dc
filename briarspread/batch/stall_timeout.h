#ifndef BRIARSPREAD_BATCH_STALL_TIMEOUT_H_
#define BRIARSPREAD_BATCH_STALL_TIMEOUT_H_

#include <cstddef>

#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// Returns how long a stream may go without a complete event before it counts
/// as stalled. Only events count, so that an engine which merely sends other
/// bytes does not keep its run. The time is at least `min_timeout`, and several
/// times `event_interval` for an engine with slow events. It doubles with each
/// stalled run of the item after the first, up to a limit, so that a slow but
/// healthy engine can finish the item in the end. `stalled_runs` is the number
/// of runs of the item that were ended as stalled. Thread-safe.
Duration StallTimeout(Duration min_timeout, Duration event_interval,
                      std::size_t stalled_runs);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_STALL_TIMEOUT_H_
