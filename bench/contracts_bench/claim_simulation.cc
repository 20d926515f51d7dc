#include "claim_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace briarspread::bench {
namespace {

using std::chrono::microseconds;

const HomeName kHome("home");

/// One home with its log and standby, in simulated time.
class SimulatedHome {
 public:
  SimulatedHome(const Delays& delays, bool has_standby)
      : delays_(delays),
        home_({}, {kHome, Epoch(1), {InstanceId("a"), Incarnation(1)}},
              InstanceId(has_standby ? "b" : ""), {}, TimePoint()),
        standby_({}, kHome, Epoch(1), Incarnation(1)) {
    home_.BeginCommit({});
    DriveCommit();
    if (!home_.can_sync()) return;
    home_.BeginSync({});
    DriveCommit();
  }

  TimePoint now{seconds(1)};
  std::uint64_t store_writes = 0;
  bool store_up = true;
  /// How the standby has failed.
  Failure standby_failure = Failure::kNone;

  /// Commits one group. Returns whether its requests may run.
  bool Commit(std::vector<Claim> claims) {
    home_.BeginCommit(std::move(claims));
    return DriveCommit();
  }
  /// Writes a log segment if one is due. Takes no simulated time, because
  /// commits in the in-sync mode do not wait for the log.
  void WriteLog() {
    const auto append = home_.NextAppend(now);
    if (append.has_value()) Append();
  }
  ClaimStandby& standby() { return standby_; }

 private:
  void Append() {
    if (store_up) ++store_writes;
    home_.OnAppend(
        store_up ? AppendResult::kAppended : AppendResult::kUnavailable, now);
  }
  ClaimBatchReply SendToStandby(const ClaimBatch& batch) {
    if (standby_failure == Failure::kNone) return standby_.OnBatch(batch, now);
    const auto outcome = standby_failure == Failure::kKilled
                             ? ClaimBatchOutcome::kProcessDead
                             : ClaimBatchOutcome::kNoReply;
    return ClaimBatchReply{outcome, batch.sequence, Incarnation(1), 0};
  }
  bool DriveCommit() {
    while (home_.commit_state() == ClaimHome::CommitState::kPending) {
      if (const auto batch = home_.NextStandbyBatch()) {
        now += microseconds(delays_.peer_round_trip_us);
        home_.OnStandbyReply(SendToStandby(*batch), now);
      } else if (home_.NextAppend(now).has_value()) {
        now += microseconds(delays_.store_write_us);
        Append();
      }
    }
    return home_.FinishCommit() == ClaimHome::CommitState::kCommitted;
  }

  Delays delays_;
  ClaimHome home_;
  ClaimStandby standby_;
};

std::vector<TimePoint> MakeArrivals(double per_second, TimePoint start,
                                    seconds duration, std::uint64_t seed) {
  SeededRandom random(seed);
  std::vector<TimePoint> arrivals;
  double at = 0;
  while (true) {
    at -= std::log(1.0 - random.Fraction()) / per_second;
    if (at >= static_cast<double>(duration.count())) return arrivals;
    arrivals.push_back(start + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(at)));
  }
}

SteadyResult Summarize(std::vector<double> latencies,
                       double writes_per_second) {
  SteadyResult result;
  result.store_writes_per_second = writes_per_second;
  if (latencies.empty()) return result;
  std::sort(latencies.begin(), latencies.end());
  result.mean_latency_ms =
      std::accumulate(latencies.begin(), latencies.end(), 0.0) /
      static_cast<double>(latencies.size());
  result.p99_latency_ms = latencies[latencies.size() * 99 / 100];
  return result;
}

}  // namespace

SteadyResult SimulateSteady(const FleetSize& size, const Delays& delays,
                            ClaimDesign design, milliseconds batching_delay,
                            seconds duration, std::uint64_t seed) {
  if (design == ClaimDesign::kToken) return SteadyResult{};
  if (design == ClaimDesign::kWritePerClaim) {
    const double latency = static_cast<double>(delays.store_write_us) / 1000;
    return SteadyResult{size.keyed_per_second, latency, latency};
  }
  SimulatedHome home(delays, design == ClaimDesign::kGroupAtStandby);
  home.store_writes = 0;
  const TimePoint start = home.now;
  const auto arrivals =
      MakeArrivals(size.keyed_per_second / size.homes, start, duration, seed);
  std::vector<double> latencies;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < arrivals.size();) {
    home.now = std::max(home.now, arrivals[i]) + batching_delay;
    std::vector<Claim> claims;
    std::size_t end = i;
    while (end < arrivals.size() && arrivals[end] <= home.now &&
           claims.size() < kMaxBatchClaims) {
      claims.push_back({RequestKey(std::to_string(++number)), Fingerprint(1)});
      ++end;
    }
    home.WriteLog();
    home.Commit(std::move(claims));
    for (; i < end; ++i) {
      const std::chrono::duration<double, std::milli> waited =
          home.now - arrivals[i];
      latencies.push_back(waited.count());
    }
  }
  const double per_home = static_cast<double>(home.store_writes) /
                          static_cast<double>(duration.count());
  return Summarize(std::move(latencies), per_home * size.homes);
}

namespace {

constexpr milliseconds kHeartbeat{250};

/// Returns the share of the outage in which one home refuses new keys, if its
/// owner or its standby fails after `until_failure`.
double SimulateHomeOutage(ClaimDesign design, Failure owner_failure,
                          Failure standby_failure, seconds outage,
                          seconds until_failure) {
  SimulatedHome home(Delays{}, design == ClaimDesign::kGroupAtStandby);
  bool is_taken_over = false;
  int refused = 0;
  const auto steps = outage / kHeartbeat;
  for (int step = 0; step < steps; ++step) {
    home.now += kHeartbeat;
    home.store_up = false;
    const bool has_failed = step * kHeartbeat >= until_failure;
    if (has_failed) home.standby_failure = standby_failure;
    if (!has_failed || owner_failure == Failure::kNone) {
      const Claim claim{RequestKey(std::to_string(step)), Fingerprint(1)};
      if (!home.Commit({claim})) ++refused;
      continue;
    }
    if (is_taken_over) continue;
    ++refused;
    // The standby probes the owner's address once per heartbeat interval.
    is_taken_over = owner_failure == Failure::kKilled &&
                    home.standby().CanTakeOverInMemory(home.now);
  }
  return static_cast<double>(refused) / static_cast<double>(steps);
}

}  // namespace

double SimulateOutage(const FleetSize& size, ClaimDesign design,
                      Failure failure, seconds outage, seconds until_failure) {
  const double failed_share = 1.0 - static_cast<double>(until_failure.count()) /
                                        static_cast<double>(outage.count());
  if (design == ClaimDesign::kWritePerClaim) return 1.0;
  if (design == ClaimDesign::kToken) {
    // Tokens issued by the failed instance are refused; the other instances
    // issue new ones.
    return failure == Failure::kNone ? 0.0 : failed_share / size.homes;
  }
  const double untouched = SimulateHomeOutage(
      design, Failure::kNone, Failure::kNone, outage, until_failure);
  const double owned = SimulateHomeOutage(design, failure, Failure::kNone,
                                          outage, until_failure);
  const double guarded = SimulateHomeOutage(design, Failure::kNone, failure,
                                            outage, until_failure);
  return (untouched * (size.homes - 2) + owned + guarded) / size.homes;
}

}  // namespace briarspread::bench
