// The part of `JobRunner` that sends the reward calls of items.

#include <glog/logging.h>

#include <utility>

#include "briarspread/batch/job_runner.h"

namespace briarspread::batch {

void JobRunner::StartPendingRewards() {
  const TimePoint now = context_.clock.Now();
  for (auto it = pending_rewards_.begin();
       it != pending_rewards_.end() &&
       rewards_.size() < settings_.max_concurrent_rewards;) {
    if (it->second > now) {
      ++it;
      continue;
    }
    const ItemKey key = it->first;
    it = pending_rewards_.erase(it);
    StartReward(key.first, key.second);
  }
}

void JobRunner::StartReward(const JobId& id, std::size_t i) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const auto& reward = it->second.ledger.spec().items[i].reward;
  auto run = std::make_unique<RewardRun>(
      context_, *reward, [this, id, i](const RewardOutcome& outcome) {
        OnRewardDone(id, i, outcome);
      });
  RewardRun& started = *run;
  rewards_[ItemKey(id, i)] = std::move(run);
  started.Start();
}

void JobRunner::OnRewardDone(const JobId& id, std::size_t i,
                             const RewardOutcome& outcome) {
  const ItemKey key(id, i);
  rewards_.erase(key);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobLedger& ledger = it->second.ledger;
  const TimePoint now = context_.clock.Now();
  metrics_.scoring.Record(SecondsOf(now - ledger.item(i).phase_start));
  if (!outcome.score.empty()) {
    ledger.SetScore(i, outcome.score, now);
  } else {
    if (outcome.max_attempts.has_value()) {
      ledger.MarkRewardFailed(i, outcome.upstream_errors, *outcome.max_attempts,
                              now);
    }
    LOG(INFO) << "event=reward_failed job=" << id
              << " item=" << ledger.spec().items[i].id
              << " request=" << ledger.spec().items[i].reward->id
              << " upstream_errors=" << outcome.upstream_errors;
  }
  if (ledger.item(i).phase == ItemPhase::kScoring) {
    pending_rewards_[key] = now + settings_.reward_retry_delay;
  } else {
    if (ledger.item(i).is_given_up) {
      RecordGivenUpItem(it->second, i, "reward_failed");
    }
    ScheduleListing(id, settings_.listing_delay);
  }
  SchedulePlacement();
}

}  // namespace briarspread::batch
