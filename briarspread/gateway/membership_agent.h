#ifndef BRIARSPREAD_GATEWAY_MEMBERSHIP_AGENT_H_
#define BRIARSPREAD_GATEWAY_MEMBERSHIP_AGENT_H_

#include <memory>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/rcu_cell.h"
#include "briarspread/core/result.h"
#include "briarspread/membership/gossip_node.h"

namespace briarspread {

/// The state of one entry instance as known to this instance.
struct MemberView {
  MemberRecord record;
  /// The member's state, combined with whether the platform's list shows it as
  /// leaving.
  MemberState state = MemberState::kAlive;
};

/// A snapshot of all entry instances, including this one, sorted by name.
/// Immutable once published.
struct MemberSnapshot {
  std::vector<MemberView> members;
  /// Whether a process started later under this instance's name was seen.
  bool superseded = false;
  /// Counters of the gossip protocol since the start, for metrics.
  GossipCounts counts;
};

/// Receives the reports of peers. Called on the agent's thread; must not block.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /// Called when a peer reported its rules revision, epoch and load.
  virtual void OnPeerReport(const PeerReport& report) = 0;
  /// Called when a notice is new to this instance or its count has grown.
  virtual void OnNotice(const Notice& notice) = 0;
};

/// Settings of `MembershipAgent`.
struct MembershipAgentSettings {
  /// The node's settings; `node.interval` is the interval between its rounds.
  GossipNodeSettings node;
  /// The address and port of the UDP socket.
  Endpoint listen;
};

/// Runs a `GossipNode` on a UDP socket, on its own thread. Thread-safe.
class MembershipAgent {
 public:
  /// Precondition: references outlive this object; `observer` may be null.
  /// `self.version.incarnation` must be above that of any earlier run of the
  /// process; the wall-clock time in milliseconds is suitable.
  MembershipAgent(const MembershipAgentSettings& settings,
                  const MemberRecord& self, const Clock& clock,
                  RandomSource& random, MembershipObserver* observer);
  ~MembershipAgent();
  MembershipAgent(const MembershipAgent&) = delete;
  MembershipAgent& operator=(const MembershipAgent&) = delete;

  /// Binds the socket and starts the thread. Returns `kUnavailable` if the
  /// address is invalid or the port is in use.
  Status Start();
  /// Stops the thread and closes the socket.
  void Stop();

  /// Applies the platform's instance list.
  void ApplyList(std::vector<ListedInstance> listed);
  /// Set the values that this instance reports to its peers.
  void SetRulesRevision(Revision revision);
  void SetEpoch(Epoch epoch);
  void SetLoad(const LoadHint& load);
  /// Announces to all peers that this instance is shutting down. The agent
  /// keeps running until `Stop`, so that the announcement spreads.
  void Leave();
  /// Spreads a notice to all instances.
  void AddNotice(const Notice& notice);

  /// Returns the members. A new snapshot is published in every round.
  const RcuCell<MemberSnapshot>& members() const;

 private:
  class Impl;
  /// Keeps Asio out of this header, since its headers are slow to compile.
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_MEMBERSHIP_AGENT_H_
