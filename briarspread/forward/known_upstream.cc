#include "briarspread/forward/known_upstream.h"

#include <algorithm>
#include <array>
#include <limits>

#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {
namespace {

/// The figures of a load header.
struct LoadFigures {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  /// How long work takes in percent of the usual time; zero if not sent.
  std::uint32_t slowness_percent = 0;
};

/// Parses three or four numbers that are separated by commas.
std::optional<LoadFigures> ParseLoad(std::string_view text) {
  std::array<std::uint32_t, 4> parts{};
  std::size_t count = 0;
  while (true) {
    const std::size_t comma = text.find(',');
    const auto n = proxy::ParseNumber(text.substr(0, comma));
    if (!n.has_value() || count == parts.size()) return std::nullopt;
    parts[count++] = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(*n, std::numeric_limits<std::uint32_t>::max()));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  if (count < 3) return std::nullopt;
  return LoadFigures{parts[0], parts[1], parts[2], parts[3]};
}

}  // namespace

bool KnownUpstream::UpdateLoad(std::string_view text, TimePoint now) {
  const auto figures = ParseLoad(text);
  if (!figures.has_value()) return false;
  load.running = figures->running;
  load.queued = figures->queued;
  if (figures->slots > 0) load.slots = figures->slots;
  load.slowness.Record(figures->slowness_percent, now);
  load.received = now;
  load.own_in_flight = counters->in_flight.load();
  return true;
}

WeightVersion KnownUpstream::VersionOf(const ModelName& model) const {
  for (const LoadedModel& loaded : listed.models) {
    if (loaded.name == model) return loaded.version;
  }
  return WeightVersion(0);
}

void KnownUpstream::RecordEventInterval(Duration taken, TimePoint now) {
  /// The newest interval has a weight of 1 / `kAverageParts`.
  constexpr int kAverageParts = 8;
  const bool is_first = event_interval.count() == 0;
  const double slowness = load.slowness.At(now);
  event_interval =
      is_first ? taken
               : event_interval + (taken - event_interval) / kAverageParts;
  slowness_at_measurement =
      is_first ? slowness
               : slowness_at_measurement +
                     (slowness - slowness_at_measurement) / kAverageParts;
  interval_measured = now;
  if (slow_start != nullptr) {
    slow_start->limit.OnEventInterval(event_interval, now);
  }
}

Duration KnownUpstream::ExpectedEventInterval(TimePoint now) const {
  // Without recent readings, the slowness is assumed to be that of the
  // measurement.
  const double change =
      load.slowness.At(now, slowness_at_measurement) / slowness_at_measurement;
  return std::chrono::duration_cast<Duration>(
      change * std::chrono::duration<double, std::nano>(event_interval));
}

}  // namespace briarspread::forward
