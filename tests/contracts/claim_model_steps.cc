#include <utility>

#include "claim_model.h"

namespace briarspread::testing {
namespace {

constexpr milliseconds kTimeStep{1300};

}  // namespace

std::vector<ClaimModel> ClaimModel::Successors() const {
  std::vector<ClaimModel> out;
  if (!CanRunTwice()) return out;
  AddClientSteps(out);
  for (int p = 0; p < kProcesses; ++p) {
    if (!services_[p].has_value()) continue;
    AddServiceSteps(out, p);
    AddStoreSteps(out, p);
    AddStandbySteps(out, p);
  }
  AddTakeoverSteps(out);
  AddFaultSteps(out);
  for (ClaimModel& next : out) next.DropSettledRequests();
  return out;
}

void ClaimModel::AddClientSteps(std::vector<ClaimModel>& out) const {
  for (const auto& [key, left] : sends_left_) {
    if (left == 0) continue;
    for (int p = 0; p < kProcesses; ++p) {
      if (!services_[p].has_value()) continue;
      out.push_back(*this);
      out.back().Send(p, key);
    }
  }
}

void ClaimModel::AddServiceSteps(std::vector<ClaimModel>& out,
                                 int process) const {
  const Service& service = *services_[process];
  const bool is_idle =
      service.home.commit_state() == ClaimHome::CommitState::kIdle;
  if (is_idle && !service.claiming.empty()) {
    out.push_back(*this);
    out.back().BeginCommit(process);
  }
  if (budget_.syncs > 0 && service.home.can_sync()) {
    out.push_back(*this);
    --out.back().budget_.syncs;
    Service& next = *out.back().services_[process];
    next.home.BeginSync(next.keys.CommittedClaims());
    out.back().SendDueRequests(process);
  }
  for (const RequestKey& key : service.runnable) {
    out.push_back(*this);
    out.back().Run(process, key, false);
    if (budget_.refused_runs > 0) {
      out.push_back(*this);
      out.back().Run(process, key, true);
    }
  }
}

void ClaimModel::AddStoreSteps(std::vector<ClaimModel>& out,
                               int process) const {
  const Service& service = *services_[process];
  if (!service.append.has_value()) return;
  const std::uint64_t term = service.home.term().term.value();
  if (service.append_result.has_value()) {
    out.push_back(*this);
    out.back().DeliverAppendResult(process, *service.append_result);
  } else {
    out.push_back(*this);
    out.back().services_[process]->append_result =
        out.back().Apply(term, *service.append);
  }
  if (budget_.lost_store_responses == 0) return;
  out.push_back(*this);
  ClaimModel& lost = out.back();
  --lost.budget_.lost_store_responses;
  if (!service.append_result.has_value()) {
    lost.late_appends_.emplace_back(term, *service.append);
  }
  lost.DeliverAppendResult(process, AppendResult::kUnknown);
}

void ClaimModel::AddStandbySteps(std::vector<ClaimModel>& out,
                                 int process) const {
  const Service& service = *services_[process];
  if (!service.batch.has_value()) return;
  out.push_back(*this);
  if (service.batch_reply.has_value()) {
    Service& next = *out.back().services_[process];
    const ClaimBatchReply reply = *next.batch_reply;
    next.batch.reset();
    next.batch_reply.reset();
    next.home.OnStandbyReply(reply, now_);
    out.back().SendDueRequests(process);
  } else {
    out.back().DeliverBatch(process);
  }
  if (budget_.lost_batches > 0) {
    out.push_back(*this);
    out.back().LoseBatch(process);
  }
}

void ClaimModel::AddTakeoverSteps(std::vector<ClaimModel>& out) const {
  for (const int p : {kStandby, kOther}) {
    const bool is_open =
        alive_[p] && phases_[p] != TakeoverPhase::kDone && table_term_ == 1;
    // The first step, fencing the copy, would not need the store. The model
    // takes it only while the store is available, like the other steps.
    if (!is_open || !store_up_) continue;
    out.push_back(*this);
    out.back().StepTakeover(p);
  }
  const bool has_proof =
      !alive_[kOwner] || omission_ == Omission::kProofOfDeath;
  if (copy_.has_value() && !store_up_ && has_proof &&
      !services_[kStandby].has_value() && copy_->CanTakeOverInMemory(now_)) {
    out.push_back(*this);
    out.back().TakeOverInMemory();
  }
}

void ClaimModel::AddFaultSteps(std::vector<ClaimModel>& out) const {
  if (budget_.crashes > 0) {
    for (const int p : {kOwner, kStandby}) {
      if (!alive_[p]) continue;
      out.push_back(*this);
      out.back().Crash(p);
    }
  }
  if (!store_up_ || budget_.outages > 0) {
    out.push_back(*this);
    if (store_up_) --out.back().budget_.outages;
    out.back().store_up_ = !store_up_;
  }
  if (budget_.time_steps > 0) {
    out.push_back(*this);
    --out.back().budget_.time_steps;
    out.back().now_ += kTimeStep;
    for (int p = 0; p < kProcesses; ++p) {
      if (out.back().services_[p].has_value()) out.back().SendDueRequests(p);
    }
  }
  for (std::size_t i = 0; i < late_appends_.size(); ++i) {
    out.push_back(*this);
    ClaimModel& next = out.back();
    const auto [term, request] = late_appends_[i];
    next.late_appends_.erase(next.late_appends_.begin() +
                             static_cast<std::ptrdiff_t>(i));
    next.Apply(term, request);
  }
  for (std::size_t i = 0; i < late_batches_.size(); ++i) {
    out.push_back(*this);
    ClaimModel& next = out.back();
    if (next.copy_.has_value()) next.copy_->OnBatch(late_batches_[i], now_);
    next.late_batches_.erase(next.late_batches_.begin() +
                             static_cast<std::ptrdiff_t>(i));
  }
}

}  // namespace briarspread::testing
