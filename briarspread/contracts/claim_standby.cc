#include "briarspread/contracts/claim_standby.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarspread {
namespace {

/// Maximum number of unconfirmed acknowledgements whose send times are kept.
constexpr std::size_t kMaxUnconfirmed = 64;

}  // namespace

ClaimStandby::ClaimStandby(StandbySettings settings, HomeName home, Epoch term,
                           Incarnation self)
    : settings_(settings), home_(std::move(home)), term_(term), self_(self) {}

ClaimBatchReply ClaimStandby::OnBatch(const ClaimBatch& batch, TimePoint now) {
  assert(batch.home == home_ && batch.term == term_);
  ClaimBatchReply reply;
  reply.sequence = batch.sequence;
  reply.incarnation = self_;
  if (fenced_) {
    reply.outcome = ClaimBatchOutcome::kDeposed;
    return reply;
  }
  const bool is_late = batch.sequence <= last_sequence_;
  const bool is_for_other =
      !batch.is_reset && batch.standby_incarnation != self_;
  if (is_late || is_for_other || (!batch.is_reset && !synced_)) {
    reply.outcome = ClaimBatchOutcome::kNotInSync;
    return reply;
  }
  last_sequence_ = batch.sequence;
  if (batch.is_reset) {
    claims_.clear();
    synced_ = true;
  }
  for (const Claim& claim : batch.claims) {
    claims_.insert_or_assign(claim.key, StoredClaim{claim.fingerprint, now});
  }
  RenewLease(batch.granted_ack);
  reply.outcome = ClaimBatchOutcome::kAcked;
  reply.ack = ++last_ack_;
  sent_acks_.emplace(last_ack_, now);
  if (sent_acks_.size() > kMaxUnconfirmed) sent_acks_.erase(sent_acks_.begin());
  return reply;
}

void ClaimStandby::RenewLease(std::uint64_t granted_ack) {
  const auto it = sent_acks_.find(granted_ack);
  if (it == sent_acks_.end()) return;
  // The lease counts from when the acknowledgement was sent, not from when the
  // batch was received: the batch may have been delayed by any time.
  lease_end_ = std::max(lease_end_, it->second + settings_.takeover_lease);
  sent_acks_.erase(sent_acks_.begin(), it);
}

bool ClaimStandby::CanTakeOverInMemory(TimePoint now) const {
  return synced_ && !fenced_ && now < lease_end_;
}

void ClaimStandby::Expire(TimePoint oldest) {
  std::erase_if(claims_, [oldest](const auto& entry) {
    return entry.second.received_at < oldest;
  });
}

std::vector<Claim> ClaimStandby::Claims() const {
  std::vector<Claim> claims;
  claims.reserve(claims_.size());
  for (const auto& [key, held] : claims_) {
    claims.push_back({key, held.fingerprint});
  }
  return claims;
}

std::string ClaimStandby::DebugString(TimePoint now) const {
  std::string out{synced_ ? '1' : '0', fenced_ ? '1' : '0'};
  const auto add = [&out](auto number) {
    out += ' ';
    out += std::to_string(number);
  };
  add(last_sequence_);
  add(last_ack_);
  add(std::max<std::int64_t>(0, (lease_end_ - now).count()));
  for (const auto& [ack, time] : sent_acks_) {
    add(ack);
    add((now - time).count());
  }
  for (const auto& [key, held] : claims_) out += ' ' + key.value();
  return out;
}

}  // namespace briarspread
