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
  /// Settings of the rule distributor, with this instance's name and zone.
  RuleDistributorSettings distributor;
  /// Settings of the calls to peers.
  HttpPeerRulesSettings peers;
};

/// Keeps the rules in force on this instance up to date. Performs the actions
/// of a `RuleDistributor` on one thread for the store and one for peers,
/// publishes new rules to the request handlers and serves them to peers.
class RulesAgent final : private RuleSink {
 public:
  /// Callback that announces to some peers at once which revision came into
  /// force. Called with the agent's state locked: must neither block nor call
  /// the agent.
  using Announcer = std::function<void(Revision)>;

  /// Precondition: all arguments outlive this object.
  RulesAgent(const RulesAgentSettings& settings, KeyValueStore& store,
             UpstreamClient& client, ControlState& state, const Clock& clock,
             RandomSource& random);
  ~RulesAgent() override;
  RulesAgent(const RulesAgent&) = delete;
  RulesAgent& operator=(const RulesAgent&) = delete;

  /// Registers `GET /v1/rules`. Precondition: the server has not started.
  void AddRoutes(httplib::Server& routes);
  /// Sets the callback for each revision that comes into force. Precondition:
  /// the agent has not started.
  void SetAnnouncer(Announcer announcer) { announcer_ = std::move(announcer); }
  /// Starts the threads.
  void Start();
  /// Stops the threads. Waits for calls in flight to the store or to a peer.
  void Stop();

  /// Called with each list of instances from the platform. Thread-safe.
  void OnInstances(const std::vector<ListedInstance>& instances);
  /// Called with the rules revision in a peer's digest. Thread-safe.
  void OnAnnouncement(const InstanceId& peer, Revision revision);

  /// Perform one action on the store or with a peer, and return the time to
  /// wait before the next. Called by the threads, or by a test instead of them.
  milliseconds StepStore() { return sync_.StepStore(); }
  milliseconds StepPeers() { return sync_.StepPeers(); }
  /// Returns the distributor, which holds the rules in force. Thread-safe.
  const RuleDistributor& distributor() const { return distributor_; }

 private:
  void Publish(RuleSet rules) override;
  void RunStore();
  void RunPeers();

  const RulesAgentSettings settings_;
  /// New rules are published here.
  ControlState& state_;
  /// Reads the records of the store.
  RuleStore store_;
  /// Fetches the rules of peers.
  HttpPeerRules peers_;
  /// Decides which action is next.
  RuleDistributor distributor_;
  /// Performs the actions.
  RuleSync sync_;
  /// Guards `stopping_` and `announced_`.
  std::mutex mutex_;
  /// Whether the threads must stop.
  bool stopping_ = false;
  /// Whether a peer announced a revision since the last step of the peer
  /// thread.
  bool announced_ = false;
  /// Wakes the threads.
  std::condition_variable wake_;
  /// Called with each revision that comes into force; may be empty.
  Announcer announcer_;
  /// Runs `RunStore`.
  std::thread store_thread_;
  /// Runs `RunPeers`.
  std::thread peer_thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_RULES_AGENT_H_
