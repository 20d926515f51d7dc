#ifndef BENCH_ADMISSION_BENCH_LOAD_MODEL_H_
#define BENCH_ADMISSION_BENCH_LOAD_MODEL_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "bench/admission_bench/policy.h"

namespace briarspread::bench {

/// Engines with a fixed number of slots, live traffic, and trainers that offer
/// the rest of the load.
struct LoadSettings {
  /// Slots of all engines.
  std::uint32_t slots = 64;
  /// Work offered, as a fraction of capacity.
  double load = 0.7;
  /// The part of capacity that live callers ask for, whatever the load.
  double live_load = 0.3;
  /// Service times are uniform from half to one and a half times the mean.
  double live_service_s = 0.4;
  double rollout_service_s = 4.0;
  /// Live callers' deadlines: quotes, and stock checks.
  double quote_deadline_s = 1.5;
  double stock_deadline_s = 3.0;
  /// How long a trainer waits for a sample before it gives up.
  double rollout_deadline_s = 120;
  /// Requests of each class that may wait.
  std::uint32_t queue_length = 256;
  /// Refused requests that trainers hold at once; with as many they start no
  /// new ones.
  std::uint64_t most_held = 512;
  /// Modelled time, the first tenth of which is not counted.
  double duration_s = 900;
};

/// What came of the requests.
struct LoadResult {
  std::uint64_t live = 0;
  double live_p50_ms = 0;
  double live_p99_ms = 0;
  double live_max_ms = 0;
  /// Live requests that ended after their deadline, or were refused.
  std::uint64_t live_missed = 0;
  std::uint64_t live_refused = 0;
  /// Refusals of trainers' requests; each comes back as told.
  std::uint64_t rollout_refusals = 0;
  /// Rollouts ended a second.
  double rollouts_per_s = 0;
  /// Of the refused requests that came back, the fraction taken at once.
  double taken_on_return = 0;
};

/// Discrete-event model. One run per object; one thread.
class LoadModel {
 public:
  LoadModel(std::uint64_t seed, const LoadSettings& settings, Policy& policy);
  /// Runs the modelled time.
  LoadResult Run();

 private:
  enum class EventKind { kLiveArrival, kRolloutArrival, kReturn, kEnd };
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
    bool has_returned = false;
  };

  void ArriveLive();
  void ArriveRollout();
  void Offer(std::uint64_t id);
  void StartReady();
  void End(std::uint64_t id);
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
  /// Refused requests that will come back.
  std::uint64_t held_ = 0;
  std::uint64_t returned_ = 0;
  std::uint64_t returned_taken_ = 0;
  LoadResult result_;
};

}  // namespace briarspread::bench

#endif  // BENCH_ADMISSION_BENCH_LOAD_MODEL_H_
