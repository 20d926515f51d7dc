#ifndef BENCH_ADMISSION_BENCH_LOAD_MODEL_H_
#define BENCH_ADMISSION_BENCH_LOAD_MODEL_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "bench/admission_bench/policy.h"

namespace briarspread::bench {

/// Settings of a simulation of engines with a fixed number of slots, live
/// traffic, and trainers that offer the rest of the load.
struct LoadSettings {
  /// Total number of slots of all engines.
  std::uint32_t slots = 64;
  /// Offered load, as a fraction of the capacity.
  double load = 0.7;
  /// Load offered by live callers, as a fraction of the capacity; does not
  /// depend on `load`.
  double live_load = 0.3;
  /// Mean service times, in seconds. The service times are distributed
  /// uniformly from 0.5 to 1.5 times the mean.
  double live_service_s = 0.4;
  double rollout_service_s = 4.0;
  /// Deadlines of live requests after their arrival, in seconds: of quotes and
  /// of stock checks.
  double quote_deadline_s = 1.5;
  double stock_deadline_s = 3.0;
  /// Deadline of a rollout after it was sent, in seconds.
  double rollout_deadline_s = 120;
  /// Maximum number of waiting requests of each class.
  std::uint32_t queue_length = 256;
  /// Maximum number of refused rollouts that wait for a retry; trainers send no
  /// new rollouts while this number is reached.
  std::uint64_t max_waiting_retries = 512;
  /// Simulated time, in seconds. The first tenth is a warm-up, which the
  /// results leave out.
  double duration_s = 900;
};

/// Results of a simulation.
struct LoadResult {
  /// Number of live requests.
  std::uint64_t live = 0;
  double live_p50_ms = 0;
  double live_p99_ms = 0;
  double live_max_ms = 0;
  /// Number of live requests that were refused or ended after their deadline,
  /// and of those that were refused.
  std::uint64_t live_missed = 0;
  std::uint64_t live_refused = 0;
  /// Number of refusals of rollouts. Each refused rollout is retried after the
  /// delay given by the policy.
  std::uint64_t rollout_refusals = 0;
  /// Number of rollouts that ended per second.
  double rollouts_per_s = 0;
  /// Fraction of the retries that were accepted.
  double taken_on_return = 0;
};

/// Discrete-event simulation of requests under an admission policy. An object
/// can run once. Not thread-safe.
class LoadModel {
 public:
  LoadModel(std::uint64_t seed, const LoadSettings& settings, Policy& policy);
  /// Runs the simulation and returns its results.
  LoadResult Run();

 private:
  enum class EventKind { kLiveArrival, kRolloutArrival, kRetry, kEnd };
  struct Event {
    double at = 0;
    EventKind kind = EventKind::kEnd;
    std::uint64_t id = 0;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  struct Request {
    AdmissionRequest admission;
    double arrived = 0;
    double deadline = 0;
    double service = 0;
    bool is_retry = false;
  };

  void HandleLiveArrival();
  void HandleRolloutArrival();
  void Offer(std::uint64_t id);
  void StartReady();
  void HandleEnd(std::uint64_t id);
  bool IsCounted(const Request& request) const;
  double Uniform() { return uniform_(random_); }
  double Exponential(double mean);

  const LoadSettings settings_;
  Policy& policy_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{0.0, 1.0};
  double now_ = 0;
  TimePoint time_{};
  std::vector<Request> requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<double> live_latencies_s_;
  std::uint64_t rollouts_ended_ = 0;
  /// Number of refused rollouts that wait for a retry.
  std::uint64_t waiting_retries_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t accepted_retries_ = 0;
  LoadResult result_;
};

}  // namespace briarspread::bench

#endif  // BENCH_ADMISSION_BENCH_LOAD_MODEL_H_
