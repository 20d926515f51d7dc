#include "briarspread/batch/stream_silence.h"

#include <algorithm>

namespace briarspread::batch {
namespace {

/// Events of the usual distance that a stream may miss.
constexpr int kMissedEvents = 8;
/// How often the time is doubled at most.
constexpr std::size_t kMaxDoublings = 3;

}  // namespace

Duration AllowedSilence(Duration least, Duration event_interval,
                        std::size_t earlier_cuts) {
  const Duration usual =
      std::max<Duration>(least, kMissedEvents * event_interval);
  // The first cut may be an engine that died.
  const std::size_t doublings =
      std::min(earlier_cuts > 0 ? earlier_cuts - 1 : 0, kMaxDoublings);
  return usual * (std::int64_t{1} << doublings);
}

}  // namespace briarspread::batch
