#ifndef BRIARSPREAD_MEMBERSHIP_GOSSIP_NODE_H_
#define BRIARSPREAD_MEMBERSHIP_GOSSIP_NODE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/membership/digest.h"
#include "briarspread/membership/digest_seal.h"
#include "briarspread/membership/failure_detector.h"
#include "briarspread/membership/gossip_plan.h"
#include "briarspread/membership/member_table.h"
#include "briarspread/membership/notice_table.h"

namespace briarspread {

/// Settings of `GossipNode`.
struct GossipNodeSettings {
  MemberTableSettings table;
  FailureDetectorSettings detector;
  GossipPlanSettings plan;
  /// Interval at which `Tick` is called.
  milliseconds interval{500};
  /// Time between two ticks above which this instance counts as having been
  /// paused.
  milliseconds pause_limit{1500};
  /// Maximum number of member records in a digest: changed records first, then
  /// the others round-robin.
  std::size_t records = 12;
  /// Maximum number of notices in a digest.
  std::size_t notices = 6;
  /// Maximum number of notices kept.
  std::size_t max_notices = 1024;
  /// The key that all instances share; empty if peers are trusted.
  std::string peer_key;
};

/// One datagram to send.
struct Datagram {
  /// The address of the receiver.
  Endpoint to;
  /// The sealed digest.
  std::string bytes;
};

/// The values that a peer last reported about itself.
struct PeerReport {
  /// The reporting peer.
  InstanceId peer;
  Endpoint endpoint;
  /// The revision of the rules in force on the peer.
  Revision rules_revision;
  Epoch epoch;
  LoadHint load;
};

/// Counters of a `GossipNode` since its start.
struct GossipCounts {
  std::uint64_t digests_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t digests_received = 0;
  std::uint64_t bytes_received = 0;
  /// Refused datagrams: forged, replayed, invalid or from this node itself.
  std::uint64_t refused = 0;
  /// Suspicions raised by this node.
  std::uint64_t suspicions = 0;
  /// Suspects that this node marked dead after the suspicion timeout.
  std::uint64_t deaths = 0;
  /// Suspicions of this node that it refuted.
  std::uint64_t refutations = 0;
};

/// The membership protocol of one instance: probes its peers, sends them
/// digests, answers their probes, and maintains the member table and the
/// notices. Owns no socket and no thread: the owner sends the returned
/// datagrams. Not thread-safe.
class GossipNode {
 public:
  /// Precondition: `clock` and `random` outlive this object, and the
  /// incarnation in `self.version` is above that of any earlier start.
  GossipNode(const GossipNodeSettings& settings, const MemberRecord& self,
             const Clock& clock, RandomSource& random);

  /// Must be called every `interval`. Returns the datagrams to send.
  std::vector<Datagram> Tick();
  /// Handles a received datagram of arbitrary bytes. Returns the datagrams to
  /// send in answer.
  std::vector<Datagram> Receive(std::string_view datagram);

  /// Applies the platform's list of instances to the member table.
  void ApplyList(const std::vector<ListedInstance>& listed);
  /// Set the values that this instance reports about itself.
  void SetRulesRevision(Revision revision);
  void SetEpoch(Epoch epoch) { epoch_ = epoch; }
  void SetLoad(const LoadHint& load) { load_ = load; }
  /// Announces to all members that this instance is shutting down. Returns the
  /// datagrams to send at once.
  std::vector<Datagram> Leave();
  /// Adds a notice of this instance, to be disseminated.
  void AddNotice(const Notice& notice);

  /// Returns the new notices received from peers since the last call.
  std::vector<Notice> TakeNewNotices();
  /// Returns the last report of each peer that reported since the last call.
  std::vector<PeerReport> TakeReports();

  const MemberTable& table() const { return table_; }
  const NoticeTable& notices() const { return notices_; }
  const GossipCounts& counts() const { return counts_; }

 private:
  std::uint32_t TransmissionCount() const;
  Datagram MakeDatagram(DigestKind kind, const MemberRecord& to,
                        std::uint64_t acknowledges);
  void AddRecords(DigestBuilder& builder, const MemberRecord& to);
  void SendTo(DigestKind kind, const InstanceId& id,
              std::vector<Datagram>& out);
  void MergeRecord(const MemberRecord& record);
  void Announce(const InstanceId& id);
  void DetectOwnPause();

  const GossipNodeSettings settings_;
  const Clock& clock_;
  MemberTable table_;
  FailureDetector detector_;
  GossipPlan plan_;
  NoticeTable notices_;
  DigestSeal seal_;
  /// Members whose changed records are still to be sent.
  DisseminationQueue<InstanceId> changed_;
  /// The member whose record was last sent round-robin.
  InstanceId cursor_;
  std::uint64_t sequence_ = 0;
  Epoch epoch_;
  LoadHint load_;
  TimePoint last_tick_;
  std::vector<Notice> new_notices_;
  std::map<InstanceId, PeerReport> reports_;
  GossipCounts counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_GOSSIP_NODE_H_
