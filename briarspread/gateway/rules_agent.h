#ifndef BRIARSPREAD_GATEWAY_RULES_AGENT_H_
#define BRIARSPREAD_GATEWAY_RULES_AGENT_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "briarspread/core/key_value_store.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/control_state.h"
#include "briarspread/gateway/http_peer_rules.h"
#include "briarspread/rules/rule_distributor.h"
#include "briarspread/rules/rule_sync.h"
#include "briarspread/transport/http_server.h"

namespace briarspread {

/// Settings of `RulesAgent`.
struct RulesAgentSettings {
  /// How rules are come by; holds this instance's name and zone.
  RuleDistributorSettings distributor;
  /// How peers are asked.
  HttpPeerRulesSettings peers;
};

/// Keeps the rules in force on this instance: performs what a
/// `RuleDistributor` decides, on a thread for the store and one for peers,
/// publishes new rules to the path of a request, and offers them to peers.
class RulesAgent final : private RuleSink {
 public:
  /// Tells some peers at once which revision came into force here. Called
  /// while the agent's state is locked: must neither block nor call the agent.
  using Announcer = std::function<void(Revision)>;

  /// Precondition: all arguments outlive this object.
  RulesAgent(const RulesAgentSettings& settings, KeyValueStore& store,
             UpstreamClient& client, ControlState& state, const Clock& clock,
             RandomSource& random);
  ~RulesAgent() override;
  RulesAgent(const RulesAgent&) = delete;
  RulesAgent& operator=(const RulesAgent&) = delete;

  /// Adds `GET /v1/rules`. Precondition: the server has not started.
  void AddRoutes(httplib::Server& routes);
  /// Sets what is called with each revision that comes into force.
  /// Precondition: not started.
  void SetAnnouncer(Announcer announcer) { announcer_ = std::move(announcer); }
  /// Starts the threads.
  void Start();
  /// Ends them; waits for calls to the store or a peer that are under way.
  void Stop();

  /// What the platform's list shows. Safe to call from any thread.
  void OnInstances(const std::vector<ListedInstance>& instances);
  /// What a peer's digest says. Safe to call from any thread.
  void OnAnnouncement(const InstanceId& peer, Revision revision);

  /// Performs one action about the store, or about peers; returns how long to
  /// wait for the next. Called by the threads, or by a test in their place.
  milliseconds StepStore() { return sync_.StepStore(); }
  milliseconds StepPeers() { return sync_.StepPeers(); }
  /// Decides for this instance. Thread-safe.
  const RuleDistributor& distributor() const { return distributor_; }

 private:
  void Publish(RuleSet rules) override;
  void RunStore();
  void RunPeers();

  /// As given.
  const RulesAgentSettings settings_;
  /// Where new rules go.
  ControlState& state_;
  /// Reads the records of the store.
  RuleStore store_;
  /// Asks peers.
  HttpPeerRules peers_;
  /// Decides.
  RuleDistributor distributor_;
  /// Performs.
  RuleSync sync_;
  /// Guards the two below.
  std::mutex mutex_;
  /// Whether the threads are to end.
  bool stopping_ = false;
  /// Whether something was announced since the last step.
  bool announced_ = false;
  /// Wakes the threads.
  std::condition_variable wake_;
  /// Told of each revision that comes into force; may be empty.
  Announcer announcer_;
  /// Runs `RunStore`.
  std::thread store_thread_;
  /// Runs `RunPeers`.
  std::thread peer_thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_RULES_AGENT_H_
