#ifndef BENCH_RULES_BENCH_FLEET_MODEL_H_
#define BENCH_RULES_BENCH_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "briarspread/core/clock.h"

namespace briarspread::bench {

/// Settings of the model of a fleet.
struct FleetModelSettings {
  /// The name in the report.
  std::string name;
  /// Number of entry instances.
  int instances = 7;
  /// Number of availability zones over which the instances are spread.
  int zones = 3;
  /// Number of regions over which the availability zones are spread; the store
  /// is in the first region.
  int regions = 2;
  /// One-way delay between two instances of a region.
  Duration within_region_delay{std::chrono::microseconds(500)};
  /// One-way delay between regions.
  Duration between_regions_delay{milliseconds(20)};
  /// Time that the store takes for each call, excluding the wait of a watch.
  Duration store_delay{milliseconds(2)};
  /// Fraction of watch events that the store drops; a watch whose event is
  /// dropped ends only when its wait is over.
  double dropped_events = 0;
  /// Duration of the store outage after each accepted change. At most one watch
  /// delivers the change before the outage; the other calls get no answer.
  milliseconds outage{0};
  /// Timeout of a call to the store.
  milliseconds call_timeout{2000};
  /// Interval at which an instance announces its revision to one instance
  /// chosen at random.
  milliseconds digest_interval{500};
  /// Number of random instances to which an instance announces a revision as
  /// soon as it is in force there.
  int announce_count = 3;
  /// Interval between two changes.
  milliseconds change_interval{4000};
  /// Number of changes.
  int changes = 300;
  /// Time without changes before the first one, in which idle calls are
  /// counted.
  milliseconds idle_time{600'000};
  /// Seed of all random choices.
  std::uint64_t seed = 1;
};

/// Results of a run of the model.
struct FleetModelResult {
  /// Number of instances that watch the store.
  int watchers = 0;
  /// Quantiles of the time from acceptance to in force on all instances, in
  /// milliseconds.
  double p50_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
  /// Number of changes not in force on all instances at the end of the run.
  int unfinished = 0;
  /// Store calls of the whole fleet per minute without changes.
  double calls_per_idle_minute = 0;
  /// Store calls of the whole fleet per change, less the idle calls; zero if
  /// the store has outages.
  double calls_per_change = 0;
  /// Store calls of the whole fleet per second while changes are made.
  double calls_per_second = 0;
  /// Maximum number of store calls in any second while changes are made and
  /// after.
  std::uint64_t most_calls_in_a_second = 0;
  /// Number of times that an instance went back to a lower revision.
  int reversals = 0;
};

/// Runs the rule distributors of a fleet against a modelled store and network,
/// in simulated time.
FleetModelResult RunFleetModel(const FleetModelSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_RULES_BENCH_FLEET_MODEL_H_
