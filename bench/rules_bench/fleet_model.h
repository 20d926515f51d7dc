#ifndef BENCH_RULES_BENCH_FLEET_MODEL_H_
#define BENCH_RULES_BENCH_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "briarspread/core/clock.h"

namespace briarspread::bench {

/// What the model of a fleet is run with.
struct FleetModelSettings {
  /// A name for the report.
  std::string name;
  /// Entry instances.
  int instances = 7;
  /// Availability zones that they are spread over.
  int zones = 3;
  /// Regions that the zones are spread over; the store stands in the first.
  int regions = 2;
  /// One way between two instances of a region.
  Duration within_region{std::chrono::microseconds(500)};
  /// One way between regions.
  Duration between_regions{milliseconds(20)};
  /// How long the store takes over each call, a watch's wait not counted.
  Duration store_delay{milliseconds(2)};
  /// Fraction of watch events that the store drops; such a watch ends only when
  /// its wait is over.
  double dropped_events = 0;
  /// How long the store is out after each accept. One watch at most hears of
  /// the change before; the other calls get no answer.
  milliseconds outage{0};
  /// How long a call without an answer is waited for.
  milliseconds call_timeout{2000};
  /// How often an instance sends its revision to one other, chosen at random.
  milliseconds digest_interval{500};
  /// Instances, chosen at random, that an instance tells at once of a revision
  /// that came into force there.
  int announce_to = 3;
  /// Time between two changes.
  milliseconds change_interval{4000};
  /// Changes.
  int changes = 300;
  /// Time without changes before the first one, over which idle calls count.
  milliseconds idle_time{600'000};
  /// Seeds all that is random.
  std::uint64_t seed = 1;
};

/// What the model showed.
struct FleetModelResult {
  /// Instances that watch the store.
  int watchers = 0;
  /// From accept to in force on the last instance, in milliseconds.
  double p50_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
  /// Changes not in force everywhere when the run ended.
  int unfinished = 0;
  /// Store calls of the whole fleet in a minute without changes.
  double calls_per_idle_minute = 0;
  /// Store calls of the whole fleet for each change, idle ones taken off; zero
  /// where the store has outages.
  double calls_per_change = 0;
  /// Store calls of the whole fleet in a second while changes come in.
  double calls_per_second = 0;
  /// The most store calls in any second after the start.
  std::uint64_t most_calls_in_a_second = 0;
  /// How often an instance went back to a lower revision.
  int reversals = 0;
};

/// Runs the distributors of a fleet against a modelled store and network, by
/// simulated time.
FleetModelResult RunFleetModel(const FleetModelSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_RULES_BENCH_FLEET_MODEL_H_
