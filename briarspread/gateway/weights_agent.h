#ifndef BRIARSPREAD_GATEWAY_WEIGHTS_AGENT_H_
#define BRIARSPREAD_GATEWAY_WEIGHTS_AGENT_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/rcu_cell.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/control_state.h"
#include "briarspread/weights/weight_rollout.h"

namespace briarspread {

/// Settings of `WeightsAgent`.
struct WeightsAgentSettings {
  /// The lease that all instances contend for. `key` is set by the agent.
  LeaseSettings lease;
  /// How often an instance that does not hold the lease looks at it, and reads
  /// which replicas are out of rotation.
  milliseconds contend_interval{10000};
  /// How often the holder looks for something to do, at least.
  milliseconds tick{100};
  /// Each model's rollout. `model` is set by the agent.
  WeightRolloutSettings rollout;
  /// Orders and questions in flight at once.
  std::size_t threads = 16;
  /// Bytes a second that rollouts may take from the weight store.
  std::uint64_t store_bytes_per_second = 50'000'000;
  /// Bytes a second that rollouts may take of the link to each region.
  std::uint64_t link_bytes_per_second = 28'000'000;
  /// The region that the weight store is in.
  RegionId store_region;
};

/// Says which engines refuse orders with an old fencing number.
class FencingRules {
 public:
  virtual ~FencingRules() = default;
  /// Whether all engines of `model` do. Thread-safe.
  virtual bool ChecksFencing(const std::string& model) const = 0;
};

/// Carries out orders over HTTP: `POST /admin/weights` and `GET /load`.
/// Thread-safe.
class HttpEngineOrders final : public EngineOrders {
 public:
  /// Precondition: references outlive this object.
  HttpEngineOrders(const InstanceId& self, UpstreamClient& client,
                   const Clock& clock);
  OrderOutcome SendOrder(const LoadOrder& order, milliseconds longest) override;
  Result<WeightVersion> QueryVersion(const ReadVersion& question) override;

 private:
  const InstanceId self_;
  UpstreamClient& client_;
  const Clock& clock_;
};

/// Drives the rollouts of all models while this instance holds the lease, and
/// takes requests for rollouts at any time. One thread of its own, and some
/// that wait for engines.
class WeightsAgent {
 public:
  /// Precondition: references outlive this object.
  WeightsAgent(const WeightsAgentSettings& settings, const InstanceId& self,
               Incarnation incarnation, KeyValueStore& store,
               EngineOrders& orders, const FencingRules& fencing,
               ControlState& state, const Clock& clock, RandomSource& random);
  ~WeightsAgent();
  WeightsAgent(const WeightsAgent&) = delete;
  WeightsAgent& operator=(const WeightsAgent&) = delete;

  /// Adds `POST` and `GET /v1/weights/{model}`. Call before the server starts.
  void AddRoutes(httplib::Server& routes);
  /// Starts the threads.
  void Start();
  /// Ends the threads once the orders in flight have ended, and gives the lease
  /// up early.
  void Stop();

  /// Replicas whose last swap failed, which must get no work of their model.
  const RcuCell<std::vector<UpstreamId>>& out_of_rotation() const {
    return out_of_rotation_;
  }
  /// Whether this instance held the lease at the last look.
  bool is_holder() const { return is_holder_.load(); }

 private:
  /// The weight store as the settings name it.
  class SettingsSource;
  /// Work for a thread that waits for engines.
  using Work = std::function<void()>;
  /// A result, to be taken by the agent's thread.
  using Outcome = std::function<void()>;

  void Run();
  void RunWork();
  void StepLease(TimePoint now);
  void Drive();
  void FindReplicas();
  void Carry(WeightRollout& rollout, const std::string& model,
             RolloutAction action);
  void PublishOutOfRotation();
  void ReadOutOfRotation();
  void Enqueue(Work work);
  void Report(Outcome outcome);
  void PostVersion(const httplib::Request& in, httplib::Response& out);
  void GetVersion(const httplib::Request& in, httplib::Response& out);

  const WeightsAgentSettings settings_;
  const InstanceId self_;
  KeyValueStore& store_;
  EngineOrders& orders_;
  const FencingRules& fencing_;
  ControlState& state_;
  const Clock& clock_;
  RandomSource& random_;
  std::unique_ptr<SettingsSource> source_;
  /// The agent's thread only.
  Lease lease_;
  std::map<std::string, std::unique_ptr<WeightRollout>> rollouts_;
  /// When to look at the lease again, while it is another's.
  TimePoint contend_at_;
  /// When to look for replicas again.
  TimePoint find_at_;
  RcuCell<std::vector<UpstreamId>> out_of_rotation_;
  std::atomic<bool> is_holder_{false};

  /// Guards all below.
  std::mutex mutex_;
  std::condition_variable work_added_;
  std::condition_variable outcome_added_;
  std::deque<Work> work_;
  std::vector<Outcome> outcomes_;
  /// Work that has not reported yet.
  std::size_t in_flight_ = 0;
  /// When no order whose answer did not come can still run.
  TimePoint quiet_at_;
  bool stopping_ = false;
  bool stopping_workers_ = false;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_WEIGHTS_AGENT_H_
