#ifndef BENCH_ROUTING_BENCH_HERD_BENCH_H_
#define BENCH_ROUTING_BENCH_HERD_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace briarspread::bench {

/// Settings of a simulated fleet under load. Each engine runs a fixed number of
/// requests at the same time, in FIFO order, and instances see the load of the
/// engines with a delay.
struct HerdSettings {
  /// Number of the system's own instances.
  int instances = 7;
  /// Number of engines.
  int replicas = 9;
  /// Number of requests that an engine runs at the same time.
  int slots = 8;
  /// Offered load, as a fraction of the capacity of all slots.
  double load = 0.85;
  /// Mean of the exponential service time, in seconds.
  double service_s = 1.0;
  /// Time between the load reports that an instance reads, in seconds.
  double report_period_s = 1.0;
  /// Age of a load report when it is read, in seconds.
  double report_age_s = 0.5;
  /// Simulated time, in seconds. The first fifth is a warm-up, which the
  /// results leave out.
  double duration_s = 60;
};

/// Results for one router.
struct HerdResult {
  /// Name of the router.
  std::string router;
  /// Number of requests started after the warm-up.
  std::uint64_t requests = 0;
  double mean_wait_ms = 0;
  double p50_wait_ms = 0;
  double p99_wait_ms = 0;
  double max_wait_ms = 0;
  /// Imbalance is the largest number of requests at one engine, divided by the
  /// mean of all engines. It is sampled ten times per second; this is the
  /// maximum of the samples.
  double max_imbalance = 0;
  /// Mean of the samples of the imbalance.
  double mean_imbalance = 0;
};

/// Runs the simulation with each router, with the same seed.
std::vector<HerdResult> RunHerdBench(std::uint64_t seed,
                                     const HerdSettings& settings);

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_HERD_BENCH_H_
