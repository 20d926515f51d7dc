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
#include "briarspread/gateway/http_standby_client.h"
#include "briarspread/gateway/peer_directory.h"

namespace briarspread {

/// Settings of `HomeAgent`.
struct HomeAgentSettings {
  /// The zone of this instance.
  ZoneId zone;
  /// Limits and timeouts of homes.
  HomeServiceSettings service;
  /// Interval between heartbeats to standbys; must be several times shorter
  /// than the takeover lease.
  milliseconds heartbeat_interval{250};
  /// Interval at which the home table is read, peers are probed and takeovers
  /// are attempted.
  milliseconds control_interval{500};
  /// Interval at which claims that standbys hold are written to the log.
  milliseconds log_interval{1000};
  /// Timeout of a probe or a batch sent to a peer.
  milliseconds peer_timeout{400};
  /// Time without an answer after which a peer counts as unresponsive, so that
  /// its homes can be taken over through the store.
  milliseconds unresponsive_after{2500};
  /// How long an instance must be missing from the platform's list, beyond the
  /// list's lag, to count as stopped by the platform.
  seconds unlisted_after{60};
  /// Time that an instance of a new site waits for others to start before it
  /// writes the first home table.
  milliseconds first_table_wait{3000};
  /// Number of homes per instance in the first table.
  std::size_t homes_per_instance = 2;
  /// Maximum number of homes in the first table.
  std::size_t max_homes = 64;
};

/// Runs `AtMostOnce` for one process: sends heartbeats, writes the log, probes
/// peers, takes over homes and serves the routes that peers call. Runs its own
/// threads.
class HomeAgent {
 public:
  /// Precondition: references outlive this object.
  HomeAgent(const HomeAgentSettings& settings, const GatewayContext& context,
            Incarnation incarnation, KeyValueStore& store,
            UpstreamClient& client, const PeerDirectory& peers);
  ~HomeAgent();
  HomeAgent(const HomeAgent&) = delete;
  HomeAgent& operator=(const HomeAgent&) = delete;

  /// Registers the routes that peers call. Call before the server starts.
  void AddRoutes(httplib::Server& routes);
  /// Starts the threads.
  void Start();
  /// Stops and joins the threads.
  void Stop();

  /// Returns the service that decides whether a keyed request may run.
  /// Thread-safe.
  AtMostOnce& at_most_once() { return at_most_once_; }
  /// Returns the state of an instance by its probes; `std::nullopt` before its
  /// first probe. Thread-safe.
  std::optional<ProbeState> StateOf(const InstanceId& instance) const;
  /// Returns the number of homes that this process owns. Thread-safe.
  std::size_t OwnedHomes() const;

 private:
  /// The probed state of an instance and the time of its last answer.
  struct PeerStatus {
    ProbedInstance probed;
    TimePoint last_answer{};
  };

  void RunEvery(milliseconds interval, const std::function<void()>& work);
  void RunControl();
  void CreateFirstTable();
  void ProbePeers();
  ProbedInstance Probe(const InstanceId& id, const PeerAddress& address) const;
  void RecordProbe(const InstanceId& id, ProbedInstance probed);
  void TakeOver(const PlannedTakeover& takeover);
  void HandleBatch(const httplib::Request& in, httplib::Response& out);
  TakeoverView MakeView() const;

  const HomeAgentSettings settings_;
  const GatewayContext context_;
  const ProcessId self_;
  UpstreamClient& client_;
  const PeerDirectory& peers_;
  HttpStandbyClient standby_client_;
  AtMostOnce at_most_once_;
  /// When the agent started.
  const TimePoint started_;
  /// Guards `peer_statuses_` and `stopping_`.
  mutable std::mutex mutex_;
  std::map<InstanceId, PeerStatus> peer_statuses_;
  bool stopping_ = false;
  std::condition_variable stop_requested_;
  std::vector<std::thread> threads_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_HOME_AGENT_H_
