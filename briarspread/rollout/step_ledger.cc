#include "briarspread/rollout/step_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspread {

StepLedger::StepLedger(const StepLedgerSettings& settings, StepSpec spec,
                       TimePoint submitted)
    : settings_(settings),
      spec_(std::move(spec)),
      digest_(DigestOf(spec_)),
      submitted_(submitted),
      slots_(spec_.SampleCount()),
      ready_in_group_(spec_.groups.size()),
      delivered_(spec_.groups.size()) {
  for (std::uint32_t group = 0; group < spec_.groups.size(); ++group) {
    for (std::uint32_t i = 0; i < spec_.samples_per_group; ++i) {
      pending_.push_back({group, SampleIndex(i)});
    }
  }
}

StepLedger::Slot& StepLedger::SlotAt(const SamplePlace& place) {
  assert(place.sample.value() < spec_.samples_per_group);
  return slots_.at(std::size_t{place.group} * spec_.samples_per_group +
                   place.sample.value());
}

const StepLedger::Slot& StepLedger::SlotAt(const SamplePlace& place) const {
  return const_cast<StepLedger*>(this)->SlotAt(place);
}

void StepLedger::MakePending(const SamplePlace& place, Slot& slot) {
  slot.is_pending = true;
  // Samples that are run again come first because the rest of their group may
  // already be finished.
  pending_.push_front(place);
}

std::optional<SamplePlace> StepLedger::StartNext() {
  if (pending_.empty()) return std::nullopt;
  const SamplePlace place = pending_.front();
  pending_.pop_front();
  Slot& slot = SlotAt(place);
  slot.is_pending = false;
  ++slot.runs;
  ++runs_;
  return place;
}

void StepLedger::StartFurtherRun(const SamplePlace& place) {
  Slot& slot = SlotAt(place);
  assert(slot.runs > 0);
  ++slot.runs;
  ++runs_;
}

FinishOutcome StepLedger::Finish(const SamplePlace& place,
                                 FinishedSample sample) {
  Slot& slot = SlotAt(place);
  assert(slot.runs > 0);
  if (slot.finished.has_value()) {
    --slot.runs;
    --runs_;
    return FinishOutcome::kDuplicate;
  }
  if (settings_.requires_versions &&
      !CoversAllTokens(sample.versions, sample.tokens)) {
    Fail(place);
    return FinishOutcome::kUnlabelled;
  }
  --slot.runs;
  --runs_;
  slot.finished = std::move(sample);
  if (spec_.scorer.value().empty()) {
    ++ready_in_group_[place.group];
  } else {
    unscored_.push_back(place);
  }
  return FinishOutcome::kAccepted;
}

bool StepLedger::Fail(const SamplePlace& place) {
  Slot& slot = SlotAt(place);
  assert(slot.runs > 0);
  --slot.runs;
  --runs_;
  if (slot.runs > 0 || slot.finished.has_value()) return false;
  if (delivered_[place.group]) return false;
  MakePending(place, slot);
  return true;
}

bool StepLedger::IsFinished(const SamplePlace& place) const {
  return SlotAt(place).finished.has_value();
}

std::optional<SamplePlace> StepLedger::StartScoring() {
  while (!unscored_.empty()) {
    const SamplePlace place = unscored_.front();
    unscored_.pop_front();
    const Slot& slot = SlotAt(place);
    if (slot.finished.has_value() && !slot.finished->score.has_value()) {
      return place;
    }
  }
  return std::nullopt;
}

void StepLedger::SetScore(const SamplePlace& place, RunId run,
                          std::string score) {
  Slot& slot = SlotAt(place);
  if (!slot.finished.has_value() || slot.finished->score.has_value()) return;
  if (slot.finished->run != run) return;
  slot.finished->score = std::move(score);
  ++ready_in_group_[place.group];
}

void StepLedger::RequeueScoring(const SamplePlace& place) {
  if (IsFinished(place)) unscored_.push_back(place);
}

const FinishedSample& StepLedger::SampleAt(const SamplePlace& place) const {
  assert(IsFinished(place));
  return *SlotAt(place).finished;
}

bool StepLedger::IsComplete(std::size_t group) const {
  return ready_in_group_[group] == spec_.samples_per_group;
}

std::uint64_t StepLedger::DropStale(std::size_t group,
                                    const StalenessPolicy& policy,
                                    WeightVersion newest, std::uint64_t bound) {
  std::uint64_t tokens = 0;
  for (std::uint32_t i = 0; i < spec_.samples_per_group; ++i) {
    const SamplePlace place{static_cast<std::uint32_t>(group), SampleIndex(i)};
    Slot& slot = SlotAt(place);
    if (!slot.finished.has_value() || slot.finished->versions.empty()) continue;
    const WeightVersion oldest = OldestVersion(slot.finished->versions);
    if (policy.CanDeliver(oldest, newest, bound)) continue;
    tokens += slot.finished->tokens;
    const bool was_ready =
        spec_.scorer.value().empty() || slot.finished->score.has_value();
    if (was_ready) --ready_in_group_[group];
    slot.finished.reset();
    if (slot.runs == 0 && !delivered_[group]) MakePending(place, slot);
  }
  return tokens;
}

std::vector<FinishedSample> StepLedger::SamplesOf(std::size_t group) const {
  assert(IsComplete(group));
  std::vector<FinishedSample> samples;
  samples.reserve(spec_.samples_per_group);
  for (std::uint32_t i = 0; i < spec_.samples_per_group; ++i) {
    samples.push_back(
        SampleAt({static_cast<std::uint32_t>(group), SampleIndex(i)}));
  }
  return samples;
}

void StepLedger::RequeueGroup(std::uint32_t group) {
  for (std::uint32_t i = 0; i < spec_.samples_per_group; ++i) {
    const SamplePlace place{group, SampleIndex(i)};
    Slot& slot = SlotAt(place);
    const bool is_idle =
        slot.runs == 0 && !slot.is_pending && !slot.finished.has_value();
    if (is_idle) MakePending(place, slot);
  }
}

void StepLedger::SetDelivered(const std::vector<bool>& delivered) {
  assert(delivered.size() == delivered_.size());
  if (delivered == delivered_) return;
  delivered_ = delivered;
  std::erase_if(pending_, [this](const SamplePlace& place) {
    const bool is_delivered = delivered_[place.group];
    if (is_delivered) SlotAt(place).is_pending = false;
    return is_delivered;
  });
  for (std::uint32_t group = 0; group < delivered_.size(); ++group) {
    if (!delivered_[group]) RequeueGroup(group);
  }
}

}  // namespace briarspread
