#ifndef BENCH_ROUTING_BENCH_HERD_BENCH_H_
#define BENCH_ROUTING_BENCH_HERD_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace briarspread::bench {

/// A modelled fleet under load: engines that run a fixed number of requests at
/// once, first come first served, and instances that see their load late.
struct HerdSettings {
  /// The system's own instances.
  int instances = 7;
  /// Engines.
  int replicas = 9;
  /// Requests that an engine runs at once.
  int slots = 8;
  /// Offered load, as a fraction of all slots.
  double load = 0.85;
  /// Mean of the exponential service time, in seconds.
  double service_s = 1.0;
  /// Time between an instance's reads of the load, in seconds.
  double report_period_s = 1.0;
  /// Age of the load when it is read, in seconds.
  double report_age_s = 0.5;
  /// Modelled time, the first fifth of which is not counted.
  double duration_s = 60;
};

/// What one router made of it.
struct HerdResult {
  /// The router.
  std::string router;
  /// Requests counted.
  std::uint64_t requests = 0;
  double mean_wait_ms = 0;
  double p50_wait_ms = 0;
  double p99_wait_ms = 0;
  double max_wait_ms = 0;
  /// Most requests on one engine over the mean of all: the largest of the
  /// samples taken ten times a second.
  double max_imbalance = 0;
  /// The same, mean of the samples.
  double mean_imbalance = 0;
};

/// Runs the same arrivals through each router.
std::vector<HerdResult> RunHerdBench(std::uint64_t seed,
                                     const HerdSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_HERD_BENCH_H_
