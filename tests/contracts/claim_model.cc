#include "claim_model.h"

#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread::testing {
namespace {

const HomeName kHome("h");
const std::array<const char*, kProcesses> kNames{"owner", "standby", "other"};

const Fingerprint kBody(1);

ClaimHomeSettings HomeSettings(Omission omission) {
  ClaimHomeSettings settings;
  if (omission == Omission::kLeaseExpiry) {
    settings.standby.takeover_lease = milliseconds(0);
    settings.standby.clock_margin = milliseconds(0);
  }
  return settings;
}

std::vector<Claim> ClaimsOf(const std::set<RequestKey>& keys) {
  std::vector<Claim> claims;
  claims.reserve(keys.size());
  for (const RequestKey& key : keys) claims.push_back({key, kBody});
  return claims;
}

}  // namespace

HomeTerm ClaimModel::TermOf(int process, std::uint64_t term) {
  return {kHome, Epoch(term),
          ProcessId{InstanceId(kNames[process]), Incarnation(1)}};
}

ClaimModel::ClaimModel(FaultBudget budget, Omission omission,
                       bool starts_in_sync)
    : budget_(budget), omission_(omission), now_(seconds(1000)) {
  const ClaimHome home(HomeSettings(omission), TermOf(kOwner, 1),
                       InstanceId(kNames[kStandby]), {}, TimePoint());
  services_[kOwner] =
      Service{home, KeyTable({}), {}, {}, {}, {}, {}, {}, {}, false};
  copy_ = ClaimStandby({}, kHome, Epoch(1), Incarnation(1));
  sends_left_[RequestKey("a")] = budget.sends_of_first_key;
  sends_left_[RequestKey("b")] = budget.sends_of_second_key;
  // Only the standby has a copy to fence.
  phases_[kOther] = TakeoverPhase::kFenced;
  BeginCommit(kOwner);
  DeliverAppendResult(kOwner, Apply(1, *services_[kOwner]->append));
  if (starts_in_sync) BringInSync();
}

void ClaimModel::BringInSync() {
  Service& owner = *services_[kOwner];
  owner.home.BeginSync({});
  SendDueRequests(kOwner);
  DeliverBatch(kOwner);
  owner.batch.reset();
  owner.home.OnStandbyReply(*std::exchange(owner.batch_reply, std::nullopt),
                            now_);
  SendDueRequests(kOwner);
  DeliverAppendResult(kOwner, Apply(1, *owner.append));
  BeginCommit(kOwner);
  DeliverBatch(kOwner);
  owner.batch.reset();
  owner.home.OnStandbyReply(*std::exchange(owner.batch_reply, std::nullopt),
                            now_);
  SendDueRequests(kOwner);
}

/// Handles a finished commit and sends the requests that are due.
void ClaimModel::SendDueRequests(int process) {
  Service& service = *services_[process];
  FinishCommit(service);
  if (!service.append.has_value()) {
    service.append = service.home.NextAppend(now_);
  }
  if (auto batch = service.home.NextStandbyBatch(); batch.has_value()) {
    service.batch = std::move(batch);
  }
}

void ClaimModel::FinishCommit(Service& service) {
  using State = ClaimHome::CommitState;
  const State state = service.home.commit_state();
  if (state != State::kCommitted && state != State::kRefused) return;
  service.home.FinishCommit();
  const bool has_keys = !service.committing.empty();
  if (state == State::kCommitted && service.started_after_gap && has_keys) {
    violation_ = "an owner commits new keys after its successor's takeover";
  }
  for (const RequestKey& key : service.committing) {
    if (state == State::kCommitted) {
      service.keys.OnCommitted(key);
      service.runnable.insert(key);
    } else {
      service.keys.OnRefused(key);
    }
  }
  service.committing.clear();
}

void ClaimModel::Send(int process, const RequestKey& key) {
  --sends_left_[key];
  Service& service = *services_[process];
  const KeyAction step = service.keys.Begin({key, kBody}, Epoch(0), now_);
  if (step == KeyAction::kRun) service.runnable.insert(key);
  if (step != KeyAction::kClaim) return;
  if (omission_ == Omission::kCommitBeforeRun) {
    service.keys.OnCommitted(key);
    service.runnable.insert(key);
  } else {
    service.claiming.insert(key);
  }
}

void ClaimModel::Run(int process, const RequestKey& key, bool is_refused) {
  Service& service = *services_[process];
  service.runnable.erase(key);
  has_run_[process] = true;
  KeyedOutcome outcome;
  outcome.verdict = is_refused ? Verdict::kNotRun : Verdict::kAnswered;
  service.keys.Finish(key, outcome, now_);
  if (is_refused) {
    --budget_.refused_runs;
  } else if (++runs_[key] > 1) {
    violation_ = "key " + key.value() + " ran twice";
  }
}

void ClaimModel::BeginCommit(int process) {
  Service& service = *services_[process];
  service.committing = std::exchange(service.claiming, {});
  service.started_after_gap = has_gap_ && service.home.term().term < Epoch(2);
  service.home.BeginCommit(ClaimsOf(service.committing));
  SendDueRequests(process);
}

AppendResult ClaimModel::Apply(std::uint64_t term,
                               const AppendRequest& request) {
  if (!store_up_) return AppendResult::kUnavailable;
  auto& log = logs_[term];
  if (request.number < log.size()) {
    return log[request.number].operation == request.segment.operation
               ? AppendResult::kAppended
               : AppendResult::kSealed;
  }
  // Segments are created in order, so a log has no holes.
  if (request.number > log.size()) return AppendResult::kUnavailable;
  log.push_back(request.segment);
  return AppendResult::kAppended;
}

void ClaimModel::DeliverAppendResult(int process, AppendResult result) {
  Service& service = *services_[process];
  service.append.reset();
  service.append_result.reset();
  const bool is_hidden =
      omission_ == Omission::kUnknownAppend && result == AppendResult::kUnknown;
  service.home.OnAppend(is_hidden ? AppendResult::kUnavailable : result, now_);
  SendDueRequests(process);
}

void ClaimModel::DeliverBatch(int process) {
  Service& service = *services_[process];
  if (alive_[kStandby]) {
    service.batch_reply = copy_->OnBatch(*service.batch, now_);
  } else {
    service.batch_reply =
        ClaimBatchReply{ClaimBatchOutcome::kProcessDead,
                        service.batch->sequence, Incarnation(1), 0};
  }
}

void ClaimModel::LoseBatch(int process) {
  Service& service = *services_[process];
  --budget_.lost_batches;
  if (!service.batch_reply.has_value()) {
    late_batches_.push_back(*service.batch);
  }
  const ClaimBatchReply lost{ClaimBatchOutcome::kNoReply,
                             service.batch->sequence, Incarnation(1), 0};
  service.batch.reset();
  service.batch_reply.reset();
  service.home.OnStandbyReply(lost, now_);
  SendDueRequests(process);
}

void ClaimModel::Crash(int process) {
  --budget_.crashes;
  alive_[process] = false;
  if (services_[process].has_value()) {
    Service& service = *services_[process];
    const std::uint64_t term = service.home.term().term.value();
    if (service.append.has_value() && !service.append_result.has_value()) {
      late_appends_.emplace_back(term, *service.append);
    }
    if (service.batch.has_value() && !service.batch_reply.has_value()) {
      late_batches_.push_back(*service.batch);
    }
  }
  services_[process].reset();
  phases_[process] = TakeoverPhase::kNone;
  if (process == kStandby) copy_.reset();
}

void ClaimModel::TakeOverInMemory() {
  if (omission_ != Omission::kFence) copy_->Fence();
  KeyTable keys({});
  keys.AddClaims(copy_->Claims(), now_);
  services_[kStandby] = Service{ClaimHome::Solo({}, TermOf(kStandby, 1)),
                                keys,
                                {},
                                {},
                                {},
                                {},
                                {},
                                {},
                                {},
                                false};
}

StandbyEvidence ClaimModel::EvidenceOf(int process) const {
  if (!alive_[kStandby]) return StandbyEvidence::kProcessDead;
  if (process == kStandby && copy_->is_synced()) {
    return StandbyEvidence::kOwnFencedCopy;
  }
  return StandbyEvidence::kNone;
}

void ClaimModel::StepTakeover(int process) {
  TakeoverPhase& phase = phases_[process];
  if (phase == TakeoverPhase::kNone) {
    if (process == kStandby && omission_ != Omission::kFence) copy_->Fence();
    phase = TakeoverPhase::kFenced;
    return;
  }
  if (phase == TakeoverPhase::kFenced) {
    auto& log = logs_[1];
    if (!log.back().is_seal && omission_ != Omission::kSeal) {
      ClaimSegment seal;
      seal.operation = OperationId(kNames[process]);
      seal.is_seal = true;
      log.push_back(seal);
    }
    sealed_[process] = Summarize(log);
    phase = TakeoverPhase::kSealed;
    return;
  }
  auto decision = DecideTakeover(sealed_[process], EvidenceOf(process));
  if (decision == TakeoverDecision::kBlocked &&
      omission_ == Omission::kStandbyEvidence) {
    decision = TakeoverDecision::kComplete;
  }
  if (decision == TakeoverDecision::kBlocked) return;
  phase = TakeoverPhase::kDone;
  if (table_term_ != 1) return;
  table_term_ = 2;
  BecomeOwner(process, decision);
}

void ClaimModel::BecomeOwner(int process, TakeoverDecision decision) {
  const SealedLog& log = sealed_[process];
  std::optional<Service>& service = services_[process];
  KeyTable keys = service.has_value() ? service->keys : KeyTable({});
  std::vector<Claim> unlogged;
  if (service.has_value()) unlogged = service->home.unlogged();
  if (process == kStandby) {
    const auto held = copy_->Claims();
    unlogged.insert(unlogged.end(), held.begin(), held.end());
    if (!service.has_value()) keys.AddClaims(held, now_);
  }
  if (omission_ != Omission::kInheritedClaims) {
    keys.AddMissingClaims(log.claims, now_);
  }
  has_gap_ = decision == TakeoverDecision::kGap;
  if (has_gap_) keys.SetGap(Epoch(2), now_);
  ClaimHome home({}, TermOf(process, 2), InstanceId(), unlogged,
                 keys.gap_end());
  if (service.has_value()) {
    service->home = home;
    service->keys = keys;
  } else {
    service = Service{home, keys, {}, {}, {}, {}, {}, {}, {}, false};
  }
}

bool ClaimModel::CanRunTwice() const {
  for (const auto& [key, sends] : sends_left_) {
    int runs = sends;
    if (const auto it = runs_.find(key); it != runs_.end()) runs += it->second;
    for (const auto& service : services_) {
      if (!service.has_value()) continue;
      runs += static_cast<int>(service->claiming.count(key) +
                               service->committing.count(key) +
                               service->runnable.count(key));
    }
    if (runs > 1) return true;
  }
  return false;
}

void ClaimModel::DropSettledRequests() {
  std::erase_if(late_appends_, [this](const auto& it) {
    return it.second.number < logs_[it.first].size();
  });
  if (!copy_.has_value() || copy_->is_fenced()) late_batches_.clear();
}

Exploration Explore(const ClaimModel& start) {
  Exploration result;
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  std::vector<ClaimModel> open{start};
  while (!open.empty()) {
    const ClaimModel model = std::move(open.back());
    open.pop_back();
    for (int p = 0; p < kProcesses; ++p) {
      result.has_run[p] = result.has_run[p] || model.has_run(p);
    }
    if (!model.violation().empty()) {
      result.violation = model.violation();
      break;
    }
    for (ClaimModel& next : model.Successors()) {
      const std::string text = next.StateText();
      if (seen.emplace(StableHash(text, 1), StableHash(text, 2)).second) {
        open.push_back(std::move(next));
      }
    }
  }
  result.states = seen.size();
  return result;
}

}  // namespace briarspread::testing
