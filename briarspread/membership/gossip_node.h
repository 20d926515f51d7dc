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
#include "briarspread/membership/notice_board.h"

namespace briarspread {

/// Settings of `GossipNode`.
struct GossipNodeSettings {
  MemberTableSettings table;
  FailureDetectorSettings detector;
  GossipPlanSettings plan;
  /// How often `Tick` is called.
  milliseconds interval{500};
  /// A longer time between two ticks means that this instance was paused.
  milliseconds pause_limit{1500};
  /// Records of members in a digest: changed ones first, then by turns.
  std::size_t records = 12;
  /// Notices in a digest.
  std::size_t notices = 6;
  /// Notices kept.
  std::size_t max_notices = 1024;
  /// The key that all instances share; empty where peers are trusted.
  std::string peer_key;
};

/// One datagram to send.
struct Datagram {
  /// Where to.
  Endpoint to;
  /// The sealed digest.
  std::string bytes;
};

/// A higher value that a peer reported.
struct PeerReport {
  /// The peer.
  InstanceId peer;
  Endpoint endpoint;
  /// What it reported of itself.
  Revision rules_revision;
  Epoch epoch;
  LoadHint load;
};

/// What a node did and met so far.
struct GossipCounts {
  std::uint64_t digests_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t digests_received = 0;
  std::uint64_t bytes_received = 0;
  /// Datagrams refused: forged, repeated or unreadable.
  std::uint64_t refused = 0;
  /// Members that this node itself suspected.
  std::uint64_t suspicions = 0;
  /// Suspects whose time to refute ran out here.
  std::uint64_t deaths = 0;
  /// Suspicions of this node that it refuted.
  std::uint64_t refutations = 0;
};

/// One instance's part in membership: probes and informs its peers, answers
/// them, and keeps the table and the notices. Holds no socket and no thread:
/// whoever owns it sends the datagrams it returns. Not thread-safe.
class GossipNode {
 public:
  /// Precondition: references outlive this object. `self.version` holds an
  /// incarnation above that of any earlier start.
  GossipNode(const GossipNodeSettings& settings, const MemberRecord& self,
             const Clock& clock, RandomSource& random);

  /// To be called every `interval`. Returns what to send.
  std::vector<Datagram> Tick();
  /// Takes a datagram, whatever its bytes. Returns what to send in answer.
  std::vector<Datagram> Receive(std::string_view datagram);

  /// Takes the platform's list.
  void TakeList(const std::vector<ListedInstance>& listed);
  /// Sets what this instance reports of itself.
  void SetRulesRevision(Revision revision);
  void SetEpoch(Epoch epoch) { epoch_ = epoch; }
  void SetLoad(const LoadHint& load) { load_ = load; }
  /// Says to all that this instance is shutting down. Returns what to send at
  /// once.
  std::vector<Datagram> Leave();
  /// Takes a notice of this instance, to be passed on.
  void AddNotice(const Notice& notice);

  /// Notices that arrived from peers since the last call.
  std::vector<Notice> TakeNewNotices();
  /// Reports that arrived from peers since the last call, the last of each.
  std::vector<PeerReport> TakeReports();

  const MemberTable& table() const { return table_; }
  const NoticeBoard& notices() const { return notices_; }
  const GossipCounts& counts() const { return counts_; }

 private:
  std::uint32_t Sendings() const;
  Datagram MakeDatagram(DigestKind kind, const MemberRecord& to,
                        std::uint64_t acknowledges);
  void AddRecords(DigestBuilder& builder, const MemberRecord& to);
  void SendTo(DigestKind kind, const InstanceId& id,
              std::vector<Datagram>& out);
  void MergeRecord(const MemberRecord& record);
  void Announce(const InstanceId& id);
  void CheckOwnPause();

  const GossipNodeSettings settings_;
  const Clock& clock_;
  MemberTable table_;
  FailureDetector detector_;
  GossipPlan plan_;
  NoticeBoard notices_;
  DigestSeal seal_;
  /// Members whose records changed and are still to be sent.
  DisseminationQueue<InstanceId> changed_;
  /// The member sent last by turns.
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
