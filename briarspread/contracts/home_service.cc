#include "briarspread/contracts/home_service.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace briarspread {

HomeService::HomeService(HomeServiceSettings settings,
                         HomeServiceDependencies dependencies, ClaimHome home,
                         KeyTable keys, InstanceId standby)
    : settings_(settings),
      dependencies_(dependencies),
      standby_(std::move(standby)),
      home_(std::move(home)),
      keys_(std::move(keys)) {}

ClaimDecision HomeService::Refuse(ErrorCode code, Verdict verdict,
                                  const char* message) const {
  return Refused{Error{code, verdict, message, settings_.retry_after}};
}

ClaimDecision HomeService::Begin(const Claim& claim, Epoch created_in,
                                 TimePoint deadline) {
  Lock lock(mutex_);
  while (true) {
    switch (keys_.Begin(claim, created_in, dependencies_.clock->Now())) {
      case KeyAction::kClaim:
        return Commit(lock, claim, deadline);
      case KeyAction::kRun:
        return RunRequest{};
      case KeyAction::kAnswered:
        return StoredResponse{*keys_.ResponseOf(claim.key)};
      case KeyAction::kMayHaveRun:
        return Refused{Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
                             "an earlier attempt may have run"}};
      case KeyAction::kMismatch:
        return Refused{Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                             "the idempotency key was used with another "
                             "body"}};
      case KeyAction::kFull:
        return Refuse(ErrorCode::kOverloaded, Verdict::kNotRun,
                      "too many idempotency keys");
      case KeyAction::kWait:
        break;
    }
    if (changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
      return Refuse(ErrorCode::kDeadlineExceeded, Verdict::kMayHaveRun,
                    "the same request is still in progress");
    }
  }
}

ClaimDecision HomeService::Commit(Lock& lock, const Claim& claim,
                                  TimePoint deadline) {
  const auto pending = std::make_shared<PendingClaim>(PendingClaim{claim});
  pending_claims_.push_back(pending);
  while (!pending->is_finished) {
    if (!has_leader_) {
      CommitGroup(lock);
    } else if (changed_.wait_until(lock, deadline) == std::cv_status::timeout &&
               !pending->is_finished) {
      pending->is_abandoned = true;
      return Refuse(ErrorCode::kDeadlineExceeded, Verdict::kNotRun,
                    "the claim was not committed in time");
    }
  }
  if (pending->is_committed) return RunRequest{};
  if (home_.is_deposed()) return NotOwner{};
  return Refuse(ErrorCode::kUnavailable, Verdict::kNotRun,
                "neither the store nor the standby took the claim");
}

/// Commits the waiting claims, at most `kMaxBatchClaims`, as one group.
void HomeService::CommitGroup(Lock& lock) {
  has_leader_ = true;
  const bool is_batched = home_.mode() == ClaimHome::Mode::kOutOfSync &&
                          settings_.batching_delay.count() > 0;
  if (is_batched) {
    // Other threads may add their claims meanwhile. `has_leader_` keeps them
    // from starting a commit of their own.
    lock.unlock();
    std::this_thread::sleep_for(settings_.batching_delay);
    lock.lock();
  }
  const std::size_t count = std::min(pending_claims_.size(), kMaxBatchClaims);
  std::vector<std::shared_ptr<PendingClaim>> group(
      pending_claims_.begin(),
      pending_claims_.begin() + static_cast<std::ptrdiff_t>(count));
  pending_claims_.erase(
      pending_claims_.begin(),
      pending_claims_.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<Claim> claims;
  claims.reserve(count);
  for (const auto& it : group) claims.push_back(it->claim);
  home_.BeginCommit(std::move(claims));
  DriveCommit(lock);
  CompleteGroup(group,
                home_.FinishCommit() == ClaimHome::CommitState::kCommitted);
  has_leader_ = false;
  changed_.notify_all();
}

/// Does the I/O of the current commit until it has finished. Batches to the
/// standby go before appends, so that a slow store does not delay a commit that
/// the standby can acknowledge.
void HomeService::DriveCommit(Lock& lock) {
  while (home_.commit_state() == ClaimHome::CommitState::kPending) {
    if (SendStandbyBatch(lock) || SendAppend(lock)) continue;
    // An append by another thread is in flight.
    changed_.wait(lock);
  }
}

bool HomeService::SendStandbyBatch(Lock& lock) {
  const auto batch = home_.NextStandbyBatch();
  if (!batch.has_value()) return false;
  lock.unlock();
  const ClaimBatchReply reply =
      dependencies_.standby_client->Send(standby_, *batch);
  lock.lock();
  home_.OnStandbyReply(reply, dependencies_.clock->Now());
  return true;
}

bool HomeService::SendAppend(Lock& lock) {
  const auto request = home_.NextAppend(dependencies_.clock->Now());
  if (!request.has_value()) return false;
  const HomeTerm term = home_.term();
  lock.unlock();
  const AppendResult result = dependencies_.log->Append(
      term.home, term.term, request->number, request->segment);
  lock.lock();
  home_.OnAppend(result, dependencies_.clock->Now());
  if (result == AppendResult::kAppended) {
    written_segments_.emplace_back(dependencies_.clock->Now(), request->number);
  }
  changed_.notify_all();
  return true;
}

void HomeService::CompleteGroup(
    const std::vector<std::shared_ptr<PendingClaim>>& group,
    bool is_committed) {
  for (const auto& it : group) {
    it->is_finished = true;
    it->is_committed = is_committed;
    if (!is_committed) {
      keys_.OnRefused(it->claim.key);
      continue;
    }
    keys_.OnCommitted(it->claim.key);
    if (it->is_abandoned) {
      // The waiting thread has answered that the request did not run, so a
      // re-send must be able to run it.
      keys_.Finish(it->claim.key, KeyedOutcome{Verdict::kNotRun, 0, {}, {}},
                   dependencies_.clock->Now());
    }
  }
}

void HomeService::Finish(const RequestKey& key, KeyedOutcome outcome) {
  Lock lock(mutex_);
  keys_.Finish(key, std::move(outcome), dependencies_.clock->Now());
  changed_.notify_all();
}

void HomeService::Heartbeat() {
  Lock lock(mutex_);
  keys_.Expire(dependencies_.clock->Now());
  // A commit in progress has the same effect as a heartbeat.
  if (has_leader_) return;
  has_leader_ = true;
  if (home_.needs_heartbeat()) {
    home_.BeginCommit({});
    DriveCommit(lock);
    home_.FinishCommit();
  }
  if (home_.can_sync()) {
    home_.BeginSync(keys_.CommittedClaims());
    DriveCommit(lock);
    home_.FinishCommit();
  }
  has_leader_ = false;
  changed_.notify_all();
}

void HomeService::WriteLog() {
  Lock lock(mutex_);
  SendAppend(lock);
  TrimLogs(lock);
}

void HomeService::TrimLogs(Lock& lock) {
  if (home_.is_deposed() || home_.mode() == ClaimHome::Mode::kSolo) return;
  const HomeTerm term = home_.term();
  const TimePoint now = dependencies_.clock->Now();
  const TimePoint oldest = now - settings_.keys.resend_window;
  // The last segment is kept: the log's length is derived from its number.
  if (written_segments_.size() > 1 &&
      written_segments_.front().first < oldest) {
    const std::uint64_t number = written_segments_.front().second;
    written_segments_.pop_front();
    lock.unlock();
    dependencies_.log->TrimSegment(term.home, term.term, number);
    lock.lock();
  }
  if (now < trim_terms_at_) return;
  lock.unlock();
  const bool is_done =
      IsOk(dependencies_.log->TrimTermsBefore(term.home, term.term));
  lock.lock();
  if (is_done) trim_terms_at_ = TimePoint::max();
}

void HomeService::Promote(HomeTerm term, InstanceId standby,
                          const std::vector<Claim>& logged,
                          std::vector<Claim> held, bool has_gap) {
  Lock lock(mutex_);
  changed_.wait(lock, [this] { return !has_leader_; });
  const TimePoint now = dependencies_.clock->Now();
  std::set<RequestKey> in_log;
  for (const Claim& it : logged) in_log.insert(it.key);
  const auto& solo = home_.unlogged();
  held.insert(held.end(), solo.begin(), solo.end());
  std::erase_if(held, [&in_log](const Claim& claim) {
    return in_log.contains(claim.key);
  });
  keys_.AddMissingClaims(logged, now);
  if (has_gap) keys_.SetGap(term.term, now);
  standby_ = standby;
  written_segments_.clear();
  trim_terms_at_ = now + settings_.keys.resend_window;
  home_ = ClaimHome(settings_.home, std::move(term), std::move(standby),
                    std::move(held), keys_.gap_end());
}

void HomeService::Depose() {
  Lock lock(mutex_);
  home_.Depose();
  changed_.notify_all();
}

bool HomeService::is_deposed() const {
  Lock lock(mutex_);
  return home_.is_deposed();
}

ClaimHome::Mode HomeService::mode() const {
  Lock lock(mutex_);
  return home_.mode();
}

Epoch HomeService::term() const {
  Lock lock(mutex_);
  return home_.term().term;
}

}  // namespace briarspread
