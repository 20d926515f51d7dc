#include "briarspread/rollout/trainer_rollout.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspread {
namespace {

/// A slow run's usual duration, for the end of a step.
constexpr double kTailQuantile = 0.9;
constexpr milliseconds kRetryAfterFull{1000};

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
      staleness_(settings.staleness),
      lead_(settings.lead) {}

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

Duration TrainerRollout::UntilNeed(StepNumber step, Duration open_left) const {
  const TimePoint now = clock_.Now();
  return pace_.NeedTime(step, now, open_left) - now;
}

std::optional<StartableStep> TrainerRollout::NextStep(
    double slots, std::uint64_t rule_bound, const ServedVersions* served) {
  const Duration tail = durations_.Quantile(kTailQuantile);
  Duration work{};
  Duration open_left{};
  for (const auto& [step, ledger] : steps_) {
    work += WorkOf(ledger);
    if (step <= pace_.open_step().value_or(step)) {
      open_left = DividedBy(work, slots);
    }
    if (!ledger.HasPending()) continue;
    const Duration until_need = UntilNeed(step, open_left);
    if (!lead_.StartsNow(until_need, DividedBy(work, slots) + tail)) {
      return std::nullopt;
    }
    const Duration until_delivered = std::max(durations_.Mean(), until_need);
    const auto version = served == nullptr
                             ? std::nullopt
                             : served->NewestServed(ledger.spec().model);
    if (version.has_value() &&
        !staleness_.IsWorthRunning(
            *version, pace_.newest(), BoundOf(ledger.spec(), rule_bound),
            until_delivered, pace_.VersionInterval(clock_.Now()))) {
      ++stats_.not_started_stale;
      return std::nullopt;
    }
    return StartableStep{step, work, until_need, ledger.submitted()};
  }
  return std::nullopt;
}

bool TrainerRollout::IsWorthRunning(StepNumber step, WeightVersion oldest,
                                    Duration elapsed,
                                    std::uint64_t rule_bound) const {
  const auto it = steps_.find(step);
  if (it == steps_.end()) return false;
  const Duration left = std::max(durations_.Mean() - elapsed, Duration::zero());
  return staleness_.IsWorthRunning(oldest, pace_.newest(),
                                   BoundOf(it->second.spec(), rule_bound), left,
                                   pace_.VersionInterval(clock_.Now()));
}

std::optional<Error> TrainerRollout::Check(const Cursor& cursor) const {
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
  if (const auto error = Check(cursor)) return *error;
  OnVersion(newest, rule_bound);
  // A cursor with a batch shows that the trainer stored part of its step, so
  // it will not go back to an earlier one.
  if (cursor.batch > 0) DropStepsBefore(cursor.step);
  StepLedger& ledger = steps_.at(cursor.step);
  ledger.NoteDelivered(cursor.delivered);
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
  const auto& arrived = batch.next.delivered;
  batch.is_whole =
      std::find(arrived.begin(), arrived.end(), false) == arrived.end();
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

void TrainerRollout::OnVersion(WeightVersion newest, std::uint64_t rule_bound) {
  if (newest <= pace_.newest()) return;
  pace_.OnVersion(newest, clock_.Now());
  for (auto& [step, ledger] : steps_) {
    const std::uint64_t bound = BoundOf(ledger.spec(), rule_bound);
    for (std::size_t group = 0; group < ledger.spec().groups.size(); ++group) {
      if (ledger.IsDelivered(group)) continue;
      stats_.dropped_stale_tokens +=
          ledger.DropStale(group, staleness_, pace_.newest(), bound);
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
  if (outcome != FinishOutcome::kTaken) {
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
