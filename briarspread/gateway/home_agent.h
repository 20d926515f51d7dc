#ifndef BRIARSPREAD_GATEWAY_HOME_AGENT_H_
#define BRIARSPREAD_GATEWAY_HOME_AGENT_H_

#include <httplib.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "briarspread/contracts/at_most_once.h"
#include "briarspread/contracts/takeover_planner.h"
#include "briarspread/gateway/gateway_context.h"
#include "briarspread/gateway/http_claim_witness.h"
#include "briarspread/gateway/peer_directory.h"

namespace briarspread {

/// Settings of `HomeAgent`.
struct HomeAgentSettings {
  /// Where this instance stands.
  ZoneId zone;
  /// Bounds and times of homes.
  HomeServiceSettings service;
  /// How often standbys are sent a heartbeat; several times within the takeover
  /// right.
  milliseconds heartbeat{250};
  /// How often the table is read, peers are probed and takeovers are tried.
  milliseconds control{500};
  /// How often claims that standbys hold are written to the log.
  milliseconds log{1000};
  /// How long a peer may take to answer a probe or a batch.
  milliseconds peer_timeout{400};
  /// How long a peer must be silent before a takeover through the store.
  milliseconds silent_after{2500};
  /// How long an instance must be missing from the platform's list, beyond the
  /// list's lag, to count as stopped by the platform.
  seconds unlisted_after{60};
  /// How long the first instances wait for each other before they write the
  /// first table.
  milliseconds first_table_wait{3000};
  /// Homes for each instance in the first table.
  std::size_t homes_per_instance = 2;
  /// The most homes.
  std::size_t max_homes = 64;
};

/// Runs `AtMostOnce` for one process: heartbeats, the log, probes of peers,
/// takeovers, and the routes that peers call. Threads of its own.
class HomeAgent {
 public:
  /// Precondition: references outlive this object.
  HomeAgent(const HomeAgentSettings& settings, const GatewayContext& context,
            Incarnation incarnation, KeyValueStore& store,
            UpstreamClient& client, const PeerDirectory& peers);
  ~HomeAgent();
  HomeAgent(const HomeAgent&) = delete;
  HomeAgent& operator=(const HomeAgent&) = delete;

  /// Adds the routes that peers call. Call before the server starts.
  void AddRoutes(httplib::Server& routes);
  /// Starts the threads.
  void Start();
  /// Ends them.
  void Stop();

  /// Decides on requests. Thread-safe.
  AtMostOnce& at_most_once() { return at_most_once_; }
  /// What the last probe of an instance showed; nothing before the first.
  /// Thread-safe.
  std::optional<ProbeState> StateOf(const InstanceId& instance) const;
  /// How many homes this process owns. Thread-safe.
  std::size_t OwnedHomes() const;

 private:
  /// When an instance last answered, and what it said.
  struct Seen {
    ProbedInstance probed;
    TimePoint last_answer{};
  };

  void Every(milliseconds interval, const std::function<void()>& work);
  void Control();
  void CreateFirstTable();
  void ProbePeers();
  ProbedInstance Probe(const InstanceId& id, const PeerAddress& address) const;
  void NoteProbe(const InstanceId& id, ProbedInstance probed);
  void TakeOver(const PlannedTakeover& takeover);
  void TakeBatch(const httplib::Request& in, httplib::Response& out);
  TakeoverView View() const;

  const HomeAgentSettings settings_;
  const GatewayContext context_;
  const ProcessId self_;
  UpstreamClient& client_;
  const PeerDirectory& peers_;
  HttpClaimWitness witness_;
  AtMostOnce at_most_once_;
  /// When the agent started.
  const TimePoint started_;
  /// Guards the two below.
  mutable std::mutex mutex_;
  std::map<InstanceId, Seen> seen_;
  bool stopping_ = false;
  std::condition_variable stop_requested_;
  std::vector<std::thread> threads_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_HOME_AGENT_H_
