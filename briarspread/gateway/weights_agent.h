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
  /// Interval at which an instance that does not hold the lease tries to
  /// acquire it, and reads which replicas are out of rotation.
  milliseconds contend_interval{10000};
  /// Maximum time between two steps of the agent's thread.
  milliseconds tick{100};
  /// Settings of each model's rollout. `model` is set by the agent.
  WeightRolloutSettings rollout;
  /// Maximum number of load orders and version queries in flight.
  std::size_t threads = 16;
  /// Bytes per second that rollouts may read from the weight store.
  std::uint64_t store_bytes_per_second = 50'000'000;
  /// Bytes per second that rollouts may use of the link to each region.
  std::uint64_t link_bytes_per_second = 28'000'000;
  /// The region of the weight store.
  RegionId store_region;
};

/// Determines which engines refuse orders with an old fencing number.
class FencingRules {
 public:
  virtual ~FencingRules() = default;
  /// Whether all engines of `model` refuse them. Thread-safe.
  virtual bool ChecksFencing(const std::string& model) const = 0;
};

/// Sends load orders and version queries to engines over HTTP:
/// `POST /admin/weights` and `GET /load`. Thread-safe.
class HttpEngineOrders final : public EngineOrders {
 public:
  /// Precondition: references outlive this object.
  HttpEngineOrders(const InstanceId& self, UpstreamClient& client,
                   const Clock& clock);
  OrderOutcome SendOrder(const LoadOrder& order, milliseconds timeout) override;
  Result<WeightVersion> QueryVersion(const ReadVersion& query) override;

 private:
  const InstanceId self_;
  UpstreamClient& client_;
  const Clock& clock_;
};

/// Runs the weight rollouts of all models while this instance holds the lease,
/// and accepts requests for rollouts at any time. Runs its own thread, and a
/// pool of threads for calls to engines.
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

  /// Registers `POST` and `GET /v1/weights/{model}`. Call before the server
  /// starts.
  void AddRoutes(httplib::Server& routes);
  /// Starts the threads.
  void Start();
  /// Stops the threads once the orders in flight have ended. Releases the lease
  /// early unless an order without an answer may still run.
  void Stop();

  /// Returns the replicas whose last weight swap failed, which must not receive
  /// requests for their model. Thread-safe.
  const RcuCell<std::vector<UpstreamId>>& out_of_rotation() const {
    return out_of_rotation_;
  }
  /// Whether this instance held the lease when it was last checked.
  /// Thread-safe.
  bool is_holder() const { return is_holder_.load(); }

 private:
  /// Implements `WeightStoreInfo` from the settings.
  class SettingsSource;
  /// A call to an engine, run by a worker thread.
  using Work = std::function<void()>;
  /// Applies a result of a call; run by the agent's thread.
  using Outcome = std::function<void()>;

  void Run();
  void RunWork();
  void StepLease(TimePoint now);
  void RunStep();
  void UpdateReplicas();
  void Execute(WeightRollout& rollout, const std::string& model,
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
  /// The members from here to `update_at_` are used by the agent's thread only.
  Lease lease_;
  std::map<std::string, std::unique_ptr<WeightRollout>> rollouts_;
  /// Time of the next attempt to acquire the lease while another instance holds
  /// it.
  TimePoint contend_at_;
  /// Time of the next update of the replicas.
  TimePoint update_at_;
  RcuCell<std::vector<UpstreamId>> out_of_rotation_;
  std::atomic<bool> is_holder_{false};

  /// Guards all members below except the threads.
  std::mutex mutex_;
  std::condition_variable work_added_;
  std::condition_variable outcome_added_;
  std::deque<Work> work_;
  std::vector<Outcome> outcomes_;
  /// Number of calls that are queued or running.
  std::size_t in_flight_ = 0;
  /// Time after which no order without an answer can still run.
  TimePoint orders_settled_at_;
  bool stopping_ = false;
  bool stopping_workers_ = false;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_WEIGHTS_AGENT_H_
