#include "briarspread/rollout/rollout_scheduler.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

constexpr milliseconds kRetryAfterFull{5000};

}  // namespace

RolloutScheduler::RolloutScheduler(const RolloutSchedulerSettings& settings,
                                   std::string_view cursor_key,
                                   const TrainerRules& rules,
                                   const Clock& clock)
    : settings_(settings),
      codec_(cursor_key),
      rules_(rules),
      clock_(clock),
      share_(settings.share),
      stragglers_(settings.stragglers),
      lead_(settings.lead) {}

std::uint64_t RolloutScheduler::RuleBoundOf(const TrainerId& trainer) const {
  return rules_.RuleOf(trainer).staleness.value_or(
      std::numeric_limits<std::uint64_t>::max());
}

double RolloutScheduler::TotalWeight() const {
  double total = 0;
  for (const auto& [id, entry] : trainers_) total += rules_.RuleOf(id).weight;
  return total;
}

Result<std::string> RolloutScheduler::SubmitStep(const TrainerId& trainer,
                                                 StepNumber step,
                                                 const StepSpec& spec) {
  const std::size_t name_bytes = trainer.value().size();
  if (name_bytes == 0 || name_bytes > kMaxTrainerNameBytes) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 "the trainer's name: allowed: 1 to " +
                     std::to_string(kMaxTrainerNameBytes) + " bytes"};
  }
  auto it = trainers_.find(trainer);
  if (it == trainers_.end()) {
    if (trainers_.size() >= settings_.max_trainers) {
      return Error{ErrorCode::kOverloaded, Verdict::kNotRun,
                   "this instance serves " + std::to_string(trainers_.size()) +
                       " trainers already",
                   kRetryAfterFull};
    }
    it = trainers_
             .emplace(trainer, TrainerEntry{TrainerRollout(settings_.trainer,
                                                           trainer, clock_)})
             .first;
  }
  const auto opened = it->second.rollout.Submit(step, spec);
  if (!IsOk(opened)) return ErrorOf(opened);
  return codec_.Encode(ValueOf(opened));
}

std::optional<SampleRun> RolloutScheduler::NextRun(const SlotOffer& offer) {
  ReviewRuns();
  UpdateServedVersions(offer);
  if (runs_.size() >= offer.slots) return std::nullopt;
  auto hedge = StartHedge(offer);
  return hedge.has_value() ? hedge : StartPending(offer);
}

void RolloutScheduler::UpdateServedVersions(const SlotOffer& offer) {
  if (offer.served == nullptr || clock_.Now() < next_served_check_) return;
  next_served_check_ = clock_.Now() + settings_.review_interval;
  for (auto& [id, entry] : trainers_) {
    entry.rollout.OnServedVersions(*offer.served, RuleBoundOf(id));
  }
}

std::optional<SampleRun> RolloutScheduler::StartHedge(const SlotOffer& offer) {
  for (auto it = slow_runs_.begin(); it != slow_runs_.end(); ++it) {
    const auto found = runs_.find(*it);
    if (found == runs_.end() || found->second.is_cancelled) continue;
    Run& slow = found->second;
    const UpstreamId& engine = slow.progress.upstream;
    const bool is_same = !engine.value().empty() && engine == offer.upstream;
    if (is_same) continue;
    TrainerEntry& entry = trainers_.at(slow.trainer);
    StepLedger* ledger = entry.rollout.Find(slow.step);
    if (ledger == nullptr || ledger->IsFinished(slow.place)) continue;
    slow_runs_.erase(it);
    slow.is_hedged = true;
    ledger->StartFurtherRun(slow.place);
    ++entry.rollout.stats().hedges;
    SampleRun run = AddRun(
        entry,
        Run{slow.trainer, slow.step, slow.place, clock_.Now(), {}, true});
    if (!engine.value().empty()) run.avoided_upstreams.push_back(engine);
    return run;
  }
  return std::nullopt;
}

std::vector<StepDemand> RolloutScheduler::DueDemands(std::size_t slots) const {
  const double total_weight = TotalWeight();
  const auto all_slots = static_cast<double>(slots);
  std::vector<StepDemand> demands;
  for (const auto& [id, entry] : trainers_) {
    const double share = rules_.RuleOf(id).weight / total_weight;
    entry.rollout.AppendDemands(all_slots * share, demands);
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const StepDemand& a, const StepDemand& b) {
                     return a.until_need < b.until_need;
                   });
  // All work that is needed by some time must be done before it. If the work
  // fills the time left, with the margin of the policy, all of it is due.
  std::size_t due = 0;
  double work = 0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    work += static_cast<double>(demands[i].work.count());
    const Duration duration(static_cast<Duration::rep>(work / all_slots));
    if (lead_.ShouldStart(demands[i].until_need, duration + demands[i].tail,
                          rules_.StalenessWeight())) {
      due = i + 1;
    }
  }
  demands.resize(due);
  return demands;
}

std::optional<SampleRun> RolloutScheduler::StartPending(
    const SlotOffer& offer) {
  std::vector<ShareClaim> claims;
  std::vector<StepDemand> claimed;
  std::map<TrainerId, Duration> work;
  for (const StepDemand& demand : DueDemands(offer.slots)) {
    Duration& trainer_work = work[demand.trainer];
    trainer_work += demand.work;
    const bool has_claim = std::any_of(claimed.begin(), claimed.end(),
                                       [&demand](const StepDemand& other) {
                                         return other.trainer == demand.trainer;
                                       });
    if (!demand.has_pending || has_claim) continue;
    TrainerEntry& entry = trainers_.at(demand.trainer);
    if (!entry.rollout.IsWorthStarting(demand, RuleBoundOf(demand.trainer),
                                       offer.served)) {
      continue;
    }
    claims.push_back({rules_.RuleOf(demand.trainer).weight, entry.running,
                      trainer_work, demand.until_need, demand.submitted,
                      entry.last_served});
    claimed.push_back(demand);
  }
  const auto chosen = share_.Choose(claims, offer.slots);
  if (!chosen.has_value()) return std::nullopt;
  const StepDemand& demand = claimed[*chosen];
  TrainerEntry& entry = trainers_.at(demand.trainer);
  const auto place = entry.rollout.Find(demand.step)->StartNext();
  assert(place.has_value());
  entry.last_served = clock_.Now();
  return AddRun(entry,
                Run{demand.trainer, demand.step, *place, clock_.Now(), {}});
}

SampleRun RolloutScheduler::AddRun(TrainerEntry& entry, const Run& run) {
  const RunId id(++last_run_);
  runs_.emplace(id, run);
  ++entry.running;
  const StepSpec& spec = entry.rollout.Find(run.step)->spec();
  const GroupSpec& group = spec.groups[run.place.group];
  const std::uint64_t bound =
      TrainerRollout::BoundOf(spec, RuleBoundOf(run.trainer));
  const std::uint64_t newest = entry.rollout.pace().newest().value();
  return {id,
          run.trainer,
          run.step,
          group.id,
          run.place.sample,
          spec.model,
          group.prompt,
          spec.max_tokens,
          WeightVersion(newest > bound ? newest - bound : 0),
          {},
          run.is_hedge};
}

void RolloutScheduler::OnProgress(RunId run, const RunProgress& progress) {
  const auto it = runs_.find(run);
  if (it != runs_.end()) it->second.progress = progress;
}

bool RolloutScheduler::OnFinished(RunId id, FinishedSample sample) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return false;
  const Run run = it->second;
  RemoveRun(it);
  TrainerRollout& rollout = trainers_.at(run.trainer).rollout;
  StepLedger* ledger = rollout.Find(run.step);
  if (ledger == nullptr) {
    rollout.stats().wasted_tokens += sample.tokens;
    return false;
  }
  sample.run = id;
  const auto outcome =
      rollout.Finish(run.step, run.place, std::move(sample),
                     clock_.Now() - run.started, RuleBoundOf(run.trainer));
  if (outcome != FinishOutcome::kAccepted) return false;
  if (run.is_hedge) ++rollout.stats().hedges_won;
  CancelOthers(run);
  return ledger->IsComplete(run.place.group);
}

void RolloutScheduler::OnFailed(RunId id) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return;
  const Run run = it->second;
  RemoveRun(it);
  TrainerRollout& rollout = trainers_.at(run.trainer).rollout;
  rollout.stats().wasted_tokens += run.progress.tokens;
  if (!run.is_cancelled) ++rollout.stats().failed_runs;
  if (StepLedger* ledger = rollout.Find(run.step)) ledger->Fail(run.place);
}

void RolloutScheduler::RemoveRun(std::map<RunId, Run>::iterator it) {
  --trainers_.at(it->second.trainer).running;
  runs_.erase(it);
}

void RolloutScheduler::Cancel(RunId id, Run& run) {
  if (run.is_cancelled) return;
  run.is_cancelled = true;
  runs_to_cancel_.push_back(id);
}

void RolloutScheduler::CancelOthers(const Run& finished) {
  for (auto& [id, run] : runs_) {
    if (run.trainer == finished.trainer && run.step == finished.step &&
        run.place == finished.place) {
      Cancel(id, run);
    }
  }
}

std::vector<RunId> RolloutScheduler::RunsToCancel() {
  ReviewRuns();
  return std::exchange(runs_to_cancel_, {});
}

bool RolloutScheduler::ShouldCancel(Run& run) {
  TrainerRollout& rollout = trainers_.at(run.trainer).rollout;
  const StepLedger* ledger = rollout.Find(run.step);
  if (ledger == nullptr || ledger->IsFinished(run.place) ||
      ledger->IsDelivered(run.place.group)) {
    return true;
  }
  if (!run.progress.oldest.has_value()) return false;
  const bool is_stale = !rollout.IsWorthRunning(run.step, *run.progress.oldest,
                                                clock_.Now() - run.started,
                                                RuleBoundOf(run.trainer));
  if (is_stale) ++rollout.stats().cancelled_stale;
  return is_stale;
}

void RolloutScheduler::ReviewRuns() {
  const TimePoint now = clock_.Now();
  if (now < next_review_) return;
  next_review_ = now + settings_.review_interval;
  slow_runs_.clear();
  std::map<TrainerId, Duration> slow_after;
  for (auto& [id, entry] : trainers_) {
    slow_after[id] = stragglers_.StragglerThreshold(entry.rollout.durations());
  }
  std::map<TrainerId, std::uint64_t> hedged_tokens;
  for (auto& [id, run] : runs_) {
    if (run.is_cancelled) continue;
    if (ShouldCancel(run)) {
      Cancel(id, run);
      continue;
    }
    const Duration limit = slow_after[run.trainer];
    const bool is_slow = limit > Duration::zero() && now - run.started > limit;
    if (!is_slow || run.is_hedged) continue;
    TrainerRollout& rollout = trainers_.at(run.trainer).rollout;
    const std::uint64_t mean = rollout.MeanTokens();
    std::uint64_t& planned = hedged_tokens[run.trainer];
    const std::uint64_t spent = rollout.stats().hedges * mean + planned;
    if (!stragglers_.IsWithinCap(spent, mean, rollout.stats().tokens)) continue;
    planned += mean;
    slow_runs_.push_back(id);
  }
  // Ids increase with the time of the start, so the oldest runs come first.
}

std::optional<ScoringTask> RolloutScheduler::NextScoring() {
  for (auto& [id, entry] : trainers_) {
    const auto open = entry.rollout.NextScoring();
    if (!open.has_value()) continue;
    const auto& [step, place] = *open;
    const StepLedger& ledger = *entry.rollout.Find(step);
    const FinishedSample& sample = ledger.SampleAt(place);
    const GroupSpec& group = ledger.spec().groups[place.group];
    const std::string name =
        id.value() + "/" + std::to_string(step.value()) + "/" +
        std::to_string(group.id.value()) + "/" +
        std::to_string(place.sample.value()) + "/" +
        std::to_string(StableHash(sample.text, ledger.digest()));
    return ScoringTask{name,  ledger.spec().scorer, id,           step,
                       place, sample.run,           group.prompt, sample.text};
  }
  return std::nullopt;
}

bool RolloutScheduler::OnScored(const ScoringTask& task, std::string score) {
  const auto it = trainers_.find(task.trainer);
  if (it == trainers_.end()) return false;
  StepLedger* ledger = it->second.rollout.Find(task.step);
  if (ledger == nullptr) return false;
  ledger->SetScore(task.place, task.run, std::move(score));
  return ledger->IsComplete(task.place.group);
}

void RolloutScheduler::OnScoringFailed(const ScoringTask& task) {
  const auto it = trainers_.find(task.trainer);
  if (it == trainers_.end()) return;
  StepLedger* ledger = it->second.rollout.Find(task.step);
  if (ledger != nullptr) ledger->RequeueScoring(task.place);
}

Result<Batch> RolloutScheduler::NextBatch(const TrainerId& trainer,
                                          std::string_view cursor,
                                          WeightVersion newest) {
  const auto decoded = codec_.Decode(cursor);
  if (!IsOk(decoded)) return ErrorOf(decoded);
  if (ValueOf(decoded).trainer != trainer) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 "the cursor is of another trainer"};
  }
  const auto it = trainers_.find(trainer);
  if (it == trainers_.end()) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 "this instance does not know the step; post it again"};
  }
  return it->second.rollout.Pull(ValueOf(decoded), newest,
                                 RuleBoundOf(trainer));
}

std::vector<TrainerId> RolloutScheduler::Trainers() const {
  std::vector<TrainerId> ids;
  for (const auto& [id, entry] : trainers_) ids.push_back(id);
  return ids;
}

const TrainerStats* RolloutScheduler::StatsOf(const TrainerId& trainer) const {
  const auto it = trainers_.find(trainer);
  return it == trainers_.end() ? nullptr : &it->second.rollout.stats();
}

}  // namespace briarspread
