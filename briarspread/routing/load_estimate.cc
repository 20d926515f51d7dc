#include "briarspread/routing/load_estimate.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <limits>

#include "briarspread/routing/routing_table.h"

namespace briarspread {
namespace {

/// Number of slots assumed for an upstream that has not reported it.
constexpr std::uint32_t kAssumedSlots = 8;
/// Service time assumed for an upstream until its first exchange has ended.
constexpr std::chrono::microseconds kAssumedServiceTime{100'000};
/// The newest exchange has a weight of 1 / `kMovingAverageDivisor` in the
/// moving average.
constexpr std::int64_t kMovingAverageDivisor = 8;

}  // namespace

std::uint32_t LoadEstimate::InFlight() const {
  const LoadReport& report = upstream_.load;
  const std::int64_t own = upstream_.counters->in_flight.load();
  const std::int64_t reported =
      std::int64_t{report.running} + std::int64_t{report.queued};
  // The other instances see similar reports and make similar choices, so the
  // change of this instance's requests is assumed for each of them. If only its
  // own requests were counted, all instances together would overload the
  // upstreams that the last report showed as idle.
  const std::int64_t change =
      (own - report.own_in_flight) * std::int64_t{upstream_.share.count};
  const std::int64_t corrected = reported + change;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::max(corrected, own), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t LoadEstimate::Slots() const {
  return upstream_.load.slots == 0 ? kAssumedSlots : upstream_.load.slots;
}

double LoadEstimate::Fraction() const {
  return static_cast<double>(InFlight()) / static_cast<double>(Slots());
}

double LoadEstimate::Slowness(TimePoint now) const {
  return upstream_.load.slowness.At(now);
}

double LoadEstimate::CompletionCost(TimePoint now) const {
  return (Fraction() + 1.0 / Slots()) * Slowness(now);
}

Duration LoadEstimate::ExpectedWait(TimePoint now) const {
  const std::uint32_t in_flight = InFlight();
  const std::uint32_t slots = Slots();
  if (in_flight < slots) return Duration::zero();
  const std::uint32_t measured = upstream_.counters->service_time_us.load();
  const auto service =
      measured == 0 ? kAssumedServiceTime : std::chrono::microseconds(measured);
  // A slot becomes free every service / slots. That has to happen once for each
  // waiting request and once for this request.
  const std::int64_t ahead = std::int64_t{in_flight} - slots + 1;
  return std::chrono::duration_cast<Duration>(
      Slowness(now) * std::chrono::duration<double, std::nano>(
                          Duration(service) * ahead / slots));
}

void RecordServiceTime(UpstreamCounters& counters, Duration taken,
                       double slowness) {
  assert(slowness > 0);
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(taken).count();
  const std::int64_t sample = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(static_cast<double>(us) / slowness), 1,
      std::numeric_limits<std::uint32_t>::max());
  std::uint32_t old = counters.service_time_us.load();
  std::uint32_t next = 0;
  do {
    const std::int64_t change =
        (sample - std::int64_t{old}) / kMovingAverageDivisor;
    next = static_cast<std::uint32_t>(old == 0 ? sample : old + change);
  } while (!counters.service_time_us.compare_exchange_weak(old, next));
}

}  // namespace briarspread
