#ifndef BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_
#define BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_home.h"
#include "briarspread/core/random_source.h"

namespace briarspread::bench {

/// One size of fleet and its load.
struct FleetSize {
  std::string name;
  /// Homes that share the keys.
  int homes = 7;
  /// Requests with an idempotency key, in the whole fleet, a second.
  double keyed_per_second = 200;
};

/// Times of the network and the store.
struct Delays {
  /// From an instance to another in the region and back, microseconds.
  std::int64_t peer_round_trip_us = 1'000;
  /// One write to the store.
  std::int64_t store_write_us = 5'000;
};

/// How claims are kept.
enum class Way {
  /// One store write per claim.
  kWritePerClaim,
  /// A token that names its home: no claim is written.
  kToken,
  /// Group commit in the log, without a standby.
  kGroupInLog,
  /// Group commit at the standby; the log follows.
  kGroupAtStandby,
};

/// What one simulated run showed.
struct SteadyResult {
  double store_writes_per_second = 0;
  double mean_latency_ms = 0;
  double p99_latency_ms = 0;
};

/// Runs a home's decision classes over `duration` of simulated time with
/// Poisson arrivals. Latency is that added before a request may run.
SteadyResult SimulateSteady(const FleetSize& size, const Delays& delays,
                            Way way, milliseconds batching_delay,
                            seconds duration, std::uint64_t seed);

/// How an instance is lost.
enum class Loss { kNone, kKilled, kFrozen };

/// The share of new keyed requests refused in an outage of `outage` in which
/// one of as many instances as homes is lost after `until_loss`. Each instance
/// owns one home and is the standby of another.
double SimulateOutage(const FleetSize& size, Way way, Loss loss, seconds outage,
                      seconds until_loss);

}  // namespace briarspread::bench

#endif  // BENCH_CONTRACTS_BENCH_CLAIM_SIMULATION_H_
