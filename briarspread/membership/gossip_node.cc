#include "briarspread/membership/gossip_node.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace briarspread {
namespace {

/// Number of transmissions of a change per doubling of the fleet size.
constexpr std::uint32_t kTransmissionsPerDoubling = 3;
/// Maximum number of new notices kept for `TakeNewNotices`.
constexpr std::size_t kMaxNewNotices = 4096;

}  // namespace

GossipNode::GossipNode(const GossipNodeSettings& settings,
                       const MemberRecord& self, const Clock& clock,
                       RandomSource& random)
    : settings_(settings),
      clock_(clock),
      table_(settings.table, self, clock),
      detector_(settings.detector, clock),
      plan_(settings.plan, self.locality.region, random),
      notices_(settings.max_notices, clock),
      seal_(settings.peer_key, settings.table.max_members),
      last_tick_(clock.Now()) {
  Announce(self.id);
}

/// Returns how often a change is sent.
std::uint32_t GossipNode::TransmissionCount() const {
  return kTransmissionsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(table_.size() + 1));
}

/// Queues the record of a member for dissemination.
void GossipNode::Announce(const InstanceId& id) {
  changed_.Push(id, TransmissionCount());
}

/// Resets probes and suspicions if this instance was paused.
void GossipNode::DetectOwnPause() {
  const TimePoint now = clock_.Now();
  if (now - last_tick_ > settings_.pause_limit) {
    // Acknowledgements and refutations received during the pause may still be
    // unread in the socket.
    detector_.Clear();
    table_.RestartSuspicions();
  }
  last_tick_ = now;
}

std::vector<Datagram> GossipNode::Tick() {
  DetectOwnPause();
  std::vector<Datagram> out;
  const FailureDetector::Overdue overdue = detector_.TakeOverdue();
  for (const InstanceId& id : overdue.failed) {
    if (!table_.Suspect(id)) continue;
    ++counts_.suspicions;
    Announce(id);
  }
  for (const InstanceId& id : table_.Expire()) {
    ++counts_.deaths;
    Announce(id);
  }
  notices_.Expire();
  const GossipTargets targets = plan_.Next(table_.Others());
  for (const InstanceId& id : overdue.retry) {
    SendTo(DigestKind::kProbe, id, out);
  }
  for (const InstanceId& id : targets.probe) {
    SendTo(DigestKind::kProbe, id, out);
  }
  for (const InstanceId& id : targets.gossip) {
    SendTo(DigestKind::kGossip, id, out);
  }
  return out;
}

void GossipNode::SendTo(DigestKind kind, const InstanceId& id,
                        std::vector<Datagram>& out) {
  const auto member = table_.Find(id);
  if (!member.has_value()) return;
  out.push_back(MakeDatagram(kind, *member, 0));
  if (kind == DigestKind::kProbe) detector_.OnProbeSent(id, sequence_);
}

Datagram GossipNode::MakeDatagram(DigestKind kind, const MemberRecord& to,
                                  std::uint64_t acknowledges) {
  Digest digest;
  digest.kind = kind;
  digest.sender = table_.self();
  digest.sequence = ++sequence_;
  digest.acknowledges = acknowledges;
  digest.epoch = epoch_;
  digest.load = load_;
  DigestBuilder builder(std::move(digest));
  for (const Notice& notice : notices_.Next(settings_.notices)) {
    if (builder.Add(notice)) notices_.MarkSent(notice);
  }
  AddRecords(builder, to);
  Datagram datagram{to.endpoint, seal_.Seal(builder.digest())};
  ++counts_.digests_sent;
  counts_.bytes_sent += datagram.bytes.size();
  return datagram;
}

void GossipNode::AddRecords(DigestBuilder& builder, const MemberRecord& to) {
  std::size_t left = settings_.records;
  const auto add = [&](const MemberRecord& record) {
    if (record.id == table_.self().id) return true;
    if (!builder.Add(record)) return false;
    --left;
    return true;
  };
  // The record of a receiver that counts as suspect or dead comes first, so
  // that the receiver can refute it.
  if (to.liveness != Liveness::kAlive) add(to);
  for (const InstanceId& id : changed_.Next(left)) {
    const auto record = table_.Find(id);
    if (!record.has_value() || left == 0) continue;
    if (id != to.id && !add(*record)) return;
    changed_.MarkSent(id);
  }
  const std::size_t round_robin_count = std::min(left, table_.size());
  for (std::size_t i = 0; i < round_robin_count; ++i) {
    const auto record = table_.NextAfter(cursor_);
    if (!record.has_value() || !add(*record)) return;
    cursor_ = record->id;
  }
}

std::vector<Datagram> GossipNode::Receive(std::string_view datagram) {
  ++counts_.digests_received;
  counts_.bytes_received += datagram.size();
  const auto read = seal_.Open(datagram);
  if (!IsOk(read) || ValueOf(read).sender.id == table_.self().id) {
    ++counts_.refused;
    return {};
  }
  const Digest& digest = ValueOf(read);
  MergeRecord(digest.sender);
  for (const MemberRecord& record : digest.members) MergeRecord(record);
  for (const Notice& notice : digest.notices) {
    const bool is_new = notices_.Merge(notice, TransmissionCount());
    if (is_new && new_notices_.size() < kMaxNewNotices) {
      new_notices_.push_back(notice);
    }
  }
  if (reports_.size() < settings_.table.max_members) {
    reports_[digest.sender.id] = {digest.sender.id, digest.sender.endpoint,
                                  digest.sender.rules_revision, digest.epoch,
                                  digest.load};
  }
  if (digest.kind == DigestKind::kAck) {
    detector_.OnAcknowledged(digest.sender.id, digest.acknowledges);
  }
  if (digest.kind != DigestKind::kProbe) return {};
  // The answer has the sender's record if the sender counts as suspect or dead.
  MemberRecord to = table_.Find(digest.sender.id).value_or(digest.sender);
  to.endpoint = digest.sender.endpoint;
  std::vector<Datagram> answer;
  answer.push_back(MakeDatagram(DigestKind::kAck, to, digest.sequence));
  return answer;
}

void GossipNode::MergeRecord(const MemberRecord& record) {
  const MemberVersion before = table_.self().version;
  if (!table_.Merge(record)) return;
  if (table_.self().version != before) ++counts_.refutations;
  Announce(record.id);
}

void GossipNode::ApplyList(const std::vector<ListedInstance>& listed) {
  table_.ApplyList(listed);
}

void GossipNode::SetRulesRevision(Revision revision) {
  table_.SetRulesRevision(revision);
}

std::vector<Datagram> GossipNode::Leave() {
  table_.Leave();
  Announce(table_.self().id);
  std::vector<Datagram> out;
  const GossipTargets targets = plan_.Next(table_.Others());
  for (const InstanceId& id : targets.probe) {
    SendTo(DigestKind::kGossip, id, out);
  }
  for (const InstanceId& id : targets.gossip) {
    SendTo(DigestKind::kGossip, id, out);
  }
  return out;
}

void GossipNode::AddNotice(const Notice& notice) {
  notices_.Merge(notice, TransmissionCount());
}

std::vector<Notice> GossipNode::TakeNewNotices() {
  return std::exchange(new_notices_, {});
}

std::vector<PeerReport> GossipNode::TakeReports() {
  std::vector<PeerReport> reports;
  for (auto& [id, report] : std::exchange(reports_, {})) {
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace briarspread
