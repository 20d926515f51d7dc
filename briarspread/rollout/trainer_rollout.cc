#include "briarspread/rollout/trainer_rollout.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspread {
namespace {

/// Quantile of run durations used as the duration of the last runs of a step.
constexpr double kTailQuantile = 0.9;
constexpr milliseconds kRetryAfterFull{1000};
/// Divisor of the time until a trainer needs a step. The quotient is added to
/// that time because the trainer may be late.
constexpr int kNeedMargin = 10;

Duration DividedBy(Duration work, double slots) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) /
                                             std::max(slots, 1.0)));
}

}  // namespace

TrainerRollout::TrainerRollout(const TrainerRolloutSettings& settings,
                               TrainerId trainer, const Clock& clock)
    : settings_(settings),
      trainer_(std::move(trainer)),
      clock_(clock),
      staleness_(settings.staleness) {}

std::uint64_t TrainerRollout::BoundOf(const StepSpec& spec,
                                      std::uint64_t rule_bound) {
  return std::min(spec.staleness_bound, rule_bound);
}

Result<Cursor> TrainerRollout::Submit(StepNumber step, const StepSpec& spec) {
  auto it = steps_.find(step);
  if (it == steps_.end()) {
    if (steps_.size() >= settings_.max_steps && pace_.open_step().has_value()) {
      DropStepsBefore(*pace_.open_step());
    }
    if (steps_.size() >= settings_.max_steps) {
      return Error{ErrorCode::kOverloaded, Verdict::kNotRun,
                   "trainer " + trainer_.value() + " has " +
                       std::to_string(steps_.size()) +
                       " steps open; pull one to its end first",
                   kRetryAfterFull};
    }
    it = steps_.try_emplace(step, settings_.ledger, spec, clock_.Now()).first;
  } else if (DigestOf(spec) != it->second.digest()) {
    return Error{ErrorCode::kConflict, Verdict::kNotRun,
                 "step " + std::to_string(step.value()) +
                     " was submitted with another body"};
  }
  return Cursor{trainer_, step, 0, it->second.digest(),
                std::vector<bool>(it->second.spec().groups.size())};
}

StepLedger* TrainerRollout::Find(StepNumber step) {
  const auto it = steps_.find(step);
  return it == steps_.end() ? nullptr : &it->second;
}

void TrainerRollout::DropStepsBefore(StepNumber step) {
  steps_.erase(steps_.begin(), steps_.lower_bound(step));
}

Duration TrainerRollout::WorkOf(const StepLedger& ledger) const {
  return durations_.Mean() * static_cast<Duration::rep>(ledger.RemainingRuns());
}

void TrainerRollout::AppendDemands(double slots,
                                   std::vector<StepDemand>& demands) const {
  const TimePoint now = clock_.Now();
  const Duration tail = durations_.Quantile(kTailQuantile);
  Duration open_left{};
  for (const auto& [step, ledger] : steps_) {
    if (ledger.RemainingRuns() == 0) continue;
    const Duration work = WorkOf(ledger);
    if (step <= pace_.open_step().value_or(step)) {
      open_left += DividedBy(work, slots);
    }
    demands.push_back({trainer_, step, work,
                       pace_.NeedTime(step, now, open_left) - now, tail,
                       ledger.submitted(), ledger.HasPending()});
  }
}

bool TrainerRollout::IsWorthStarting(const StepDemand& demand,
                                     std::uint64_t rule_bound,
                                     const ServedVersions* served) {
  if (served == nullptr) return true;
  const StepSpec& spec = steps_.at(demand.step).spec();
  const auto version = served->NewestServed(spec.model);
  if (!version.has_value()) return true;
  const Duration wait = std::max(durations_.Mean(), demand.until_need);
  const bool is_worth = staleness_.IsWorthRunning(
      *version, pace_.newest(), BoundOf(spec, rule_bound),
      pace_.ExpectedVersions(wait, clock_.Now()));
  if (!is_worth) ++stats_.not_started_stale;
  return is_worth;
}

bool TrainerRollout::IsWorthRunning(StepNumber step, WeightVersion oldest,
                                    Duration elapsed,
                                    std::uint64_t rule_bound) const {
  const auto it = steps_.find(step);
  if (it == steps_.end()) return false;
  const Duration left = std::max(durations_.Mean() - elapsed, Duration::zero());
  return staleness_.IsWorthRunning(oldest, pace_.newest(),
                                   BoundOf(it->second.spec(), rule_bound),
                                   pace_.ExpectedVersions(left, clock_.Now()));
}

std::optional<Error> TrainerRollout::CheckCursor(const Cursor& cursor) const {
  const auto it = steps_.find(cursor.step);
  if (it == steps_.end()) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 "this instance does not know the step; post it again"};
  }
  const StepLedger& ledger = it->second;
  if (cursor.step_digest != ledger.digest() ||
      cursor.delivered.size() != ledger.spec().groups.size()) {
    return Error{ErrorCode::kConflict, Verdict::kNotRun,
                 "the cursor is of a step with another body"};
  }
  return std::nullopt;
}

Result<Batch> TrainerRollout::Pull(const Cursor& cursor, WeightVersion newest,
                                   std::uint64_t rule_bound) {
  if (const auto error = CheckCursor(cursor)) return *error;
  OnVersion(newest, rule_bound);
  // A cursor of a later batch than the first shows that the trainer has stored
  // a batch of this step, so it no longer needs earlier steps.
  if (cursor.batch > 0) DropStepsBefore(cursor.step);
  StepLedger& ledger = steps_.at(cursor.step);
  ledger.SetDelivered(cursor.delivered);
  Batch batch{cursor.step, {}, cursor, false};
  const std::uint64_t bound = BoundOf(ledger.spec(), rule_bound);
  std::size_t samples = 0;
  for (std::size_t group = 0; group < cursor.delivered.size(); ++group) {
    if (cursor.delivered[group] || !ledger.IsComplete(group)) continue;
    const std::uint64_t dropped =
        ledger.DropStale(group, staleness_, pace_.newest(), bound);
    stats_.dropped_stale_tokens += dropped;
    if (!ledger.IsComplete(group)) continue;
    samples += ledger.spec().samples_per_group;
    if (samples > settings_.max_batch_samples && !batch.groups.empty()) break;
    AddToBatch(group, ledger, batch);
  }
  if (!batch.groups.empty()) ++batch.next.batch;
  // The groups count as arrived until a cursor shows otherwise, so that samples
  // of a step on which the trainer already computes are not run again in vain.
  ledger.SetDelivered(batch.next.delivered);
  const auto& delivered = batch.next.delivered;
  batch.is_whole =
      std::find(delivered.begin(), delivered.end(), false) == delivered.end();
  pace_.OnPull(cursor.step, batch.is_whole, clock_.Now());
  return batch;
}

void TrainerRollout::AddToBatch(std::size_t group, const StepLedger& ledger,
                                Batch& batch) {
  DeliveredGroup delivered{ledger.spec().groups[group].id,
                           ledger.SamplesOf(group)};
  for (const FinishedSample& sample : delivered.samples) {
    if (sample.versions.empty()) continue;
    stats_.staleness.Add(
        StalenessOf(OldestVersion(sample.versions), pace_.newest()));
  }
  batch.groups.push_back(std::move(delivered));
  batch.next.delivered[group] = true;
}

void TrainerRollout::OnServedVersions(const ServedVersions& served,
                                      std::uint64_t rule_bound) {
  for (const auto& [step, ledger] : steps_) {
    const auto version = served.NewestServed(ledger.spec().model);
    if (version.has_value()) OnVersion(*version, rule_bound);
  }
}

WeightVersion TrainerRollout::NewestAtNeed(StepNumber step,
                                           std::uint64_t bound) const {
  if (!settings_.staleness.cancels_early) return pace_.newest();
  const TimePoint now = clock_.Now();
  const Duration until_need = pace_.NeedTime(step, now, {}) - now;
  const std::uint64_t changes =
      pace_.ExpectedVersions(until_need + until_need / kNeedMargin, now);
  // If even samples generated now would be too old, dropping samples early has
  // no use.
  if (changes > bound) return pace_.newest();
  return WeightVersion(pace_.newest().value() + changes);
}

void TrainerRollout::OnVersion(WeightVersion newest, std::uint64_t rule_bound) {
  if (newest <= pace_.newest()) return;
  pace_.OnVersion(newest, clock_.Now());
  for (auto& [step, ledger] : steps_) {
    const std::uint64_t bound = BoundOf(ledger.spec(), rule_bound);
    const WeightVersion at_need = NewestAtNeed(step, bound);
    for (std::size_t group = 0; group < ledger.spec().groups.size(); ++group) {
      if (ledger.IsDelivered(group)) continue;
      stats_.dropped_stale_tokens +=
          ledger.DropStale(group, staleness_, at_need, bound);
    }
  }
}

FinishOutcome TrainerRollout::Finish(StepNumber step, const SamplePlace& place,
                                     FinishedSample sample, Duration duration,
                                     std::uint64_t rule_bound) {
  StepLedger* ledger = Find(step);
  assert(ledger != nullptr);
  const std::uint32_t tokens = sample.tokens;
  const FinishOutcome outcome = ledger->Finish(place, std::move(sample));
  if (outcome == FinishOutcome::kUnlabelled) ++stats_.unlabelled_runs;
  if (outcome != FinishOutcome::kAccepted) {
    stats_.wasted_tokens += tokens;
    return outcome;
  }
  durations_.Add(duration);
  ++stats_.finished;
  stats_.tokens += tokens;
  stats_.dropped_stale_tokens +=
      ledger->DropStale(place.group, staleness_, pace_.newest(),
                        BoundOf(ledger->spec(), rule_bound));
  return outcome;
}

std::optional<std::pair<StepNumber, SamplePlace>>
TrainerRollout::NextScoring() {
  for (auto& [step, ledger] : steps_) {
    const auto place = ledger.StartScoring();
    if (place.has_value()) return std::make_pair(step, *place);
  }
  return std::nullopt;
}

std::uint64_t TrainerRollout::MeanTokens() const {
  return stats_.finished == 0 ? 0 : stats_.tokens / stats_.finished;
}

}  // namespace briarspread
