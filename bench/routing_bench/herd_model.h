#ifndef BENCH_ROUTING_BENCH_HERD_MODEL_H_
#define BENCH_ROUTING_BENCH_HERD_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "bench/routing_bench/fleet.h"
#include "bench/routing_bench/herd_bench.h"
#include "briarspread/routing/router.h"
#include "briarspread/routing/split_mix_random.h"

namespace briarspread::bench {

/// Creates the router of one instance.
using RouterFactory = std::function<std::unique_ptr<Router>(
    int instance, RandomSource& random, const Clock& clock)>;

/// Discrete-event simulation of instances, engines and lagging load reports. An
/// object can run once. Not thread-safe.
class HerdModel {
 public:
  HerdModel(std::uint64_t seed, const HerdSettings& settings,
            const RouterFactory& make_router);

  /// Runs the simulation and returns its results.
  HerdResult Run();

 private:
  enum class EventKind { kArrival, kEnd, kReport, kSample };
  struct Event {
    double at = 0;
    EventKind kind = EventKind::kArrival;
    /// Index of the instance (for `kReport`) or of the engine (for `kEnd`).
    std::size_t target = 0;
    /// Index of the instance that sent the request (for `kEnd`).
    std::size_t instance = 0;
    /// Index of the engine in that instance's `tracked` and `counters` (for
    /// `kEnd`).
    std::size_t tracked = 0;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  struct Request {
    double arrived = 0;
    std::size_t instance = 0;
    std::size_t tracked = 0;
  };
  struct Engine {
    int running = 0;
    std::deque<Request> waiting;
    /// Pairs of a time and the load from that time on, oldest first, as far
    /// back as load reports need it.
    std::deque<std::pair<double, std::uint32_t>> history;
  };
  struct Instance {
    std::vector<TrackedUpstream> tracked;
    std::vector<std::shared_ptr<UpstreamCounters>> counters;
    std::unique_ptr<RoutingTable> table;
    std::unique_ptr<Router> router;
  };

  double Exponential(double mean);
  void SetTime(double at);
  void HandleArrival();
  void Send(std::size_t engine, const Request& request);
  void Start(std::size_t engine, const Request& request);
  void HandleEnd(const Event& event);
  void ReadLoadReports(std::size_t instance);
  void SampleImbalance();
  void RecordLoad(std::size_t engine);
  std::uint32_t LoadAt(const Engine& engine, double at) const;
  HerdResult Summarize();

  const HerdSettings settings_;
  FleetSize size_;
  SplitMixRandom traffic_random_;
  SplitMixRandom router_random_;
  ModelClock clock_;
  LinkBudget links_;
  RuleSet rules_;
  RouteRequest request_;
  double now_ = 0;
  std::vector<ListedInstance> replicas_;
  std::vector<Engine> engines_;
  std::vector<Instance> instances_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<double> waits_s_;
  std::vector<double> imbalances_;
};

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_HERD_MODEL_H_
