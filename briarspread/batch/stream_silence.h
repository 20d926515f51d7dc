#ifndef BRIARSPREAD_BATCH_STREAM_SILENCE_H_
#define BRIARSPREAD_BATCH_STREAM_SILENCE_H_

#include <cstddef>

#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// How long a stream may go without a whole event before it is taken for dead.
/// Only events count, so that an engine which sends other bytes now and then
/// does not keep its run. An engine whose events come `event_interval` apart is
/// given several of these; an item that was cut more than once is given twice
/// as long each time, so that a slow sound engine ends it at last. `least` is
/// the shortest answer. Thread-safe.
Duration AllowedSilence(Duration least, Duration event_interval,
                        std::size_t earlier_cuts);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_STREAM_SILENCE_H_
