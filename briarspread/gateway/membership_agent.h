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

/// One entry instance as this one sees it.
struct MemberView {
  /// Its record.
  MemberRecord record;
  /// Its state, with what the platform's list says of leaving.
  MemberState state = MemberState::kAlive;
};

/// All entry instances at one time, this one included, by name. Immutable once
/// published.
struct MemberSnapshot {
  std::vector<MemberView> members;
  /// Whether a later start under this instance's name was seen.
  bool superseded = false;
  /// Bytes and digests so far, for metrics.
  GossipCounts counts;
};

/// Takes what peers report. Called on the agent's thread; must not block.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /// A peer reported its rules revision, epoch and load.
  virtual void OnPeerReport(const PeerReport& report) = 0;
  /// A notice is new here, or its count grew.
  virtual void OnNotice(const Notice& notice) = 0;
};

/// Settings of `MembershipAgent`.
struct MembershipAgentSettings {
  /// The node's settings; `node.interval` is how often it sends.
  GossipNodeSettings node;
  /// The address and port of the UDP socket.
  Endpoint listen;
};

/// Runs a `GossipNode` on a UDP socket, with one thread of its own. All methods
/// are safe to call from any thread.
class MembershipAgent {
 public:
  /// Precondition: references outlive this object; `observer` may be null.
  /// `self.version.incarnation` must be above that of any earlier start; the
  /// time of day in milliseconds serves.
  MembershipAgent(const MembershipAgentSettings& settings,
                  const MemberRecord& self, const Clock& clock,
                  RandomSource& random, MembershipObserver* observer);
  ~MembershipAgent();
  MembershipAgent(const MembershipAgent&) = delete;
  MembershipAgent& operator=(const MembershipAgent&) = delete;

  /// Binds the socket and starts the thread. Fails where the port is taken.
  Status Start();
  /// Ends the thread and closes the socket.
  void Stop();

  /// Takes the platform's list.
  void TakeList(std::vector<ListedInstance> listed);
  /// Set what this instance reports of itself.
  void SetRulesRevision(Revision revision);
  void SetEpoch(Epoch epoch);
  void SetLoad(const LoadHint& load);
  /// Tells all peers that this instance is shutting down. The agent goes on, so
  /// that the news spreads, until `Stop`.
  void Leave();
  /// Passes a notice on to all instances.
  void AddNotice(const Notice& notice);

  /// The members, published anew with every round.
  const RcuCell<MemberSnapshot>& members() const;

 private:
  class Impl;
  /// Hides Asio, whose headers are slow to compile.
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_MEMBERSHIP_AGENT_H_
