#ifndef BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_
#define BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_home.h"
#include "briarspread/core/random_source.h"

namespace briarspread::bench {

/// The size of a fleet and its load.
struct FleetSize {
  std::string name;
  /// Number of homes.
  int homes = 7;
  /// Requests with an idempotency key per second in the whole fleet.
  double keyed_per_second = 200;
};

/// Latencies of the network and the store.
struct Delays {
  /// Round trip between two instances of the region, in microseconds.
  std::int64_t peer_round_trip_us = 1'000;
  /// One write to the store, in microseconds.
  std::int64_t store_write_us = 5'000;
};

/// Designs for storing claims that the benchmark compares.
enum class ClaimDesign {
  /// One store write per claim.
  kWritePerClaim,
  /// A token that names its home; no claim is written.
  kToken,
  /// Group commit in the log, without a standby.
  kGroupInLog,
  /// Group commit at the standby; the claims are written to the log later.
  kGroupAtStandby,
};

/// Result of a simulated run under steady load.
struct SteadyResult {
  double store_writes_per_second = 0;
  double mean_latency_ms = 0;
  double p99_latency_ms = 0;
};

/// Runs the commit protocol of one home over `duration` of simulated time with
/// Poisson arrivals. The store writes are scaled to all homes. Latencies are
/// the times added before a request may run.
SteadyResult SimulateSteady(const FleetSize& size, const Delays& delays,
                            ClaimDesign design, milliseconds batching_delay,
                            seconds duration, std::uint64_t seed);

/// How an instance fails.
enum class Failure { kNone, kKilled, kFrozen };

/// Returns the share of new requests with keys that are refused during a store
/// outage of length `outage` in which one instance fails after `until_failure`.
/// There are as many instances as homes; each owns one home and is the standby
/// of another.
double SimulateOutage(const FleetSize& size, ClaimDesign design,
                      Failure failure, seconds outage, seconds until_failure);

}  // namespace briarspread::bench

#endif  // BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_
