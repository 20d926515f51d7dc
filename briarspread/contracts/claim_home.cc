#include "briarspread/contracts/claim_home.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarspread {

ClaimHome::ClaimHome(ClaimHomeSettings settings, HomeTerm term,
                     InstanceId standby, std::vector<Claim> unlogged,
                     TimePoint gap_end)
    : settings_(settings),
      term_(std::move(term)),
      standby_(std::move(standby)),
      gap_end_(gap_end),
      unlogged_(std::move(unlogged)) {}

ClaimHome ClaimHome::Solo(ClaimHomeSettings settings, HomeTerm term) {
  ClaimHome home(settings, std::move(term), InstanceId(), {}, TimePoint());
  home.mode_ = Mode::kSolo;
  return home;
}

void ClaimHome::BeginCommit(std::vector<Claim> claims) {
  assert(commit_ == CommitState::kIdle);
  assert(claims.size() <= kMaxBatchClaims);
  batch_ = std::move(claims);
  commit_ = CommitState::kPending;
  if (deposed_) {
    SetCommitResult(CommitState::kRefused);
  } else if (mode_ == Mode::kSolo) {
    unlogged_.insert(unlogged_.end(), batch_.begin(), batch_.end());
    SetCommitResult(CommitState::kCommitted);
  } else {
    RouteCommit();
  }
}

/// Decides whether the current commit goes to the log or to the standby. In the
/// in-sync mode the standby is tried first even if its takeover lease has
/// expired: while the store is unavailable the standby may be reachable again,
/// and its acknowledgement commits claims until a log segment removes it.
void ClaimHome::RouteCommit() {
  if (mode_ != Mode::kInSync || leaving_sync_) return;
  if (standby_dead_) {
    leaving_sync_ = true;
  } else {
    standby_batch_due_ = true;
  }
}

bool ClaimHome::can_sync() const {
  return mode_ == Mode::kOutOfSync && commit_ == CommitState::kIdle &&
         !deposed_ && !append_.has_value() && unlogged_.empty() &&
         next_segment_ > 0 && !standby_.value().empty();
}

bool ClaimHome::needs_heartbeat() const {
  if (deposed_ || mode_ == Mode::kSolo) return false;
  return mode_ == Mode::kInSync || next_segment_ == 0 || append_.has_value() ||
         !unlogged_.empty();
}

void ClaimHome::BeginSync(std::vector<Claim> known) {
  assert(can_sync());
  batch_ = std::move(known);
  commit_ = CommitState::kPending;
  syncing_ = true;
  synced_count_ = 0;
  sync_acked_ = false;
  standby_batch_due_ = true;
}

bool ClaimHome::HasLeaseExpired(TimePoint now) const {
  return standby_dead_ || now > last_ack_at_ +
                                    settings_.standby.takeover_lease +
                                    settings_.standby.clock_margin;
}

/// Returns whether a segment is due that commits the current commit or starts
/// or ends the in-sync mode.
bool ClaimHome::IsCommitSegmentDue() const {
  if (commit_ != CommitState::kPending) return false;
  if (syncing_) return sync_acked_;
  return mode_ == Mode::kOutOfSync || leaving_sync_;
}

OperationId ClaimHome::NextOperation() {
  return OperationId(term_.owner.instance.value() + "." +
                     std::to_string(term_.owner.incarnation.value()) + "." +
                     std::to_string(++last_operation_));
}

ClaimSegment ClaimHome::MakeSegment(TimePoint now) {
  ClaimSegment segment;
  segment.operation = NextOperation();
  segment.has_gap = now < gap_end_;
  append_unlogged_count_ = std::min(unlogged_.size(), kMaxBatchClaims);
  const auto end =
      unlogged_.begin() + static_cast<std::ptrdiff_t>(append_unlogged_count_);
  segment.claims.assign(unlogged_.begin(), end);
  const bool has_all_unlogged = append_unlogged_count_ == unlogged_.size();
  if (!IsCommitSegmentDue()) {
    segment.standby = standby_process_;
    append_has_batch_ = false;
  } else if (syncing_) {
    // The log already holds the claims; this segment only names the standby.
    segment.standby = standby_process_;
    append_has_batch_ = true;
  } else {
    const std::size_t room = kMaxBatchClaims - append_unlogged_count_;
    append_has_batch_ = has_all_unlogged && batch_.size() <= room;
    if (append_has_batch_) {
      segment.claims.insert(segment.claims.end(), batch_.begin(), batch_.end());
    }
    if (leaving_sync_ && !append_has_batch_) segment.standby = standby_process_;
  }
  segment.is_complete = has_all_unlogged;
  return segment;
}

std::optional<AppendRequest> ClaimHome::NextAppend(TimePoint now) {
  if (deposed_ || append_in_flight_ || mode_ == Mode::kSolo) {
    return std::nullopt;
  }
  const bool has_work = append_.has_value() || !unlogged_.empty();
  const bool is_log_due = mode_ == Mode::kInSync && has_work &&
                          now >= log_delay_start_ + settings_.log_delay;
  if (!IsCommitSegmentDue() && !is_log_due) return std::nullopt;
  if (!append_.has_value()) {
    append_ = AppendRequest{next_segment_, MakeSegment(now)};
  }
  append_in_flight_ = true;
  return append_;
}

void ClaimHome::OnAppend(AppendResult result, TimePoint now) {
  assert(append_in_flight_);
  append_in_flight_ = false;
  const bool is_waited_for = IsCommitSegmentDue();
  switch (result) {
    case AppendResult::kAppended:
      OnAppended(now);
      return;
    case AppendResult::kSealed:
      append_.reset();
      Depose();
      return;
    case AppendResult::kUnavailable:
      // The segment is certainly not in the log only if no earlier attempt to
      // write it had an unknown outcome.
      if (append_.has_value() && !append_may_be_written_) append_.reset();
      break;
    case AppendResult::kUnknown:
      append_may_be_written_ = true;
      // The log may now hold a segment that names no standby, so the standby's
      // acknowledgement is no longer enough to commit.
      if (!append_->segment.standby.has_value()) mode_ = Mode::kOutOfSync;
      break;
  }
  log_delay_start_ = now;
  leaving_sync_ = false;
  append_has_batch_ = false;
  if (is_waited_for) SetCommitResult(CommitState::kRefused);
}

void ClaimHome::OnAppended(TimePoint now) {
  const std::optional<ProcessId> standby = append_->segment.standby;
  append_.reset();
  append_may_be_written_ = false;
  ++next_segment_;
  unlogged_.erase(
      unlogged_.begin(),
      unlogged_.begin() + static_cast<std::ptrdiff_t>(append_unlogged_count_));
  log_delay_start_ = now;
  if (standby.has_value()) {
    mode_ = Mode::kInSync;
  } else {
    mode_ = Mode::kOutOfSync;
    leaving_sync_ = false;
  }
  if (append_has_batch_) {
    append_has_batch_ = false;
    SetCommitResult(CommitState::kCommitted);
  } else if (commit_ == CommitState::kPending && !syncing_ &&
             !standby_batch_in_flight_) {
    RouteCommit();
  }
}

std::optional<ClaimBatch> ClaimHome::NextStandbyBatch() {
  if (!standby_batch_due_ || deposed_) return std::nullopt;
  standby_batch_due_ = false;
  standby_batch_in_flight_ = true;
  ClaimBatch batch;
  batch.home = term_.home;
  batch.term = term_.term;
  batch.sequence = ++last_sequence_;
  batch.standby_incarnation = standby_process_.incarnation;
  if (!syncing_) {
    batch.granted_ack = last_ack_;
    batch.claims = batch_;
    return batch;
  }
  // Without `granted_ack`: the standby gets no takeover lease before the log
  // names it.
  batch.is_reset = synced_count_ == 0;
  const std::size_t end =
      std::min(batch_.size(), synced_count_ + kMaxBatchClaims);
  batch.claims.assign(
      batch_.begin() + static_cast<std::ptrdiff_t>(synced_count_),
      batch_.begin() + static_cast<std::ptrdiff_t>(end));
  return batch;
}

void ClaimHome::OnStandbyReply(const ClaimBatchReply& reply, TimePoint now) {
  if (!standby_batch_in_flight_ || reply.sequence != last_sequence_) return;
  standby_batch_in_flight_ = false;
  if (deposed_) return;
  switch (reply.outcome) {
    case ClaimBatchOutcome::kAcked:
      OnAcked(reply, now);
      return;
    case ClaimBatchOutcome::kDeposed:
      Depose();
      return;
    case ClaimBatchOutcome::kProcessDead:
      OnStandbyLost();
      return;
    case ClaimBatchOutcome::kNotInSync:
      if (reply.incarnation != standby_process_.incarnation) {
        OnStandbyLost();
        return;
      }
      break;
    case ClaimBatchOutcome::kNoReply:
      break;
  }
  if (!syncing_ && HasLeaseExpired(now)) {
    leaving_sync_ = true;
  } else {
    SetCommitResult(CommitState::kRefused);
  }
}

void ClaimHome::OnAcked(const ClaimBatchReply& reply, TimePoint now) {
  last_ack_ = reply.ack;
  last_ack_at_ = now;
  if (syncing_) {
    standby_process_ = ProcessId{standby_, reply.incarnation};
    standby_dead_ = false;
    synced_count_ = std::min(batch_.size(), synced_count_ + kMaxBatchClaims);
    sync_acked_ = synced_count_ == batch_.size();
    standby_batch_due_ = !sync_acked_;
    return;
  }
  if (unlogged_.empty()) log_delay_start_ = now;
  unlogged_.insert(unlogged_.end(), batch_.begin(), batch_.end());
  SetCommitResult(CommitState::kCommitted);
}

void ClaimHome::OnStandbyLost() {
  if (syncing_) {
    SetCommitResult(CommitState::kRefused);
    return;
  }
  standby_dead_ = true;
  leaving_sync_ = true;
}

void ClaimHome::SetCommitResult(CommitState state) {
  if (commit_ != CommitState::kPending) return;
  commit_ = state;
  syncing_ = false;
  sync_acked_ = false;
  standby_batch_due_ = false;
  batch_.clear();
}

void ClaimHome::Depose() {
  deposed_ = true;
  SetCommitResult(CommitState::kRefused);
}

ClaimHome::CommitState ClaimHome::FinishCommit() {
  assert(commit_ == CommitState::kCommitted ||
         commit_ == CommitState::kRefused);
  return std::exchange(commit_, CommitState::kIdle);
}

std::string ClaimHome::DebugString(TimePoint now) const {
  std::string out;
  for (const bool it :
       {deposed_, leaving_sync_, standby_dead_, syncing_, sync_acked_,
        append_in_flight_, append_has_batch_, append_may_be_written_,
        standby_batch_due_, standby_batch_in_flight_}) {
    out += it ? '1' : '0';
  }
  const auto add = [&out](auto number) {
    out += ' ';
    out += std::to_string(number);
  };
  add(static_cast<int>(mode_));
  add(static_cast<int>(commit_));
  add(next_segment_);
  add(last_sequence_);
  add(last_ack_);
  add(last_operation_);
  add(append_unlogged_count_);
  add(synced_count_);
  add((now - last_ack_at_).count());
  add((now - log_delay_start_).count());
  add(standby_process_.incarnation.value());
  out += " batch";
  for (const Claim& it : batch_) out += ' ' + it.key.value();
  out += " unlogged";
  for (const Claim& it : unlogged_) out += ' ' + it.key.value();
  if (append_.has_value()) {
    out += " append " + append_->segment.operation.value();
  }
  return out;
}

}  // namespace briarspread
