#include "briarspread/batch/job_ledger.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace briarspread::batch {
namespace {

/// Maximum bytes of text in one page; a single larger text still makes a page.
constexpr std::size_t kMaxPageBytes = std::size_t{800} * 1024;

/// Returns an upper estimate of the encoded size of a result.
std::size_t EncodedSize(const ItemResult& result) {
  // CBOR's field names and lengths, and a version as a 64-bit number.
  constexpr std::size_t kFieldBytes = 96;
  constexpr std::size_t kVersionBytes = 9;
  return kFieldBytes + result.id.value().size() + result.text.size() +
         result.score.size() + kVersionBytes * result.versions.size();
}

bool IsFinal(ItemPhase phase) {
  return phase == ItemPhase::kFinished || phase == ItemPhase::kListed;
}

}  // namespace

JobLedger::JobLedger(JobSpec spec, const JobLimits& limits, TimePoint now)
    : spec_(std::move(spec)), limits_(limits), states_(spec_.items.size()) {
  for (std::size_t i = 0; i < spec_.items.size(); ++i) {
    index_.emplace(spec_.items[i].id, i);
    groups_[spec_.items[i].group].push_back(i);
    states_[i].phase_start = now;
    mean_tokens_ += static_cast<double>(spec_.items[i].expected_tokens) /
                    static_cast<double>(spec_.items.size());
  }
}

double JobLedger::RelativeLength(std::size_t i) const {
  return static_cast<double>(spec_.items[i].expected_tokens) / mean_tokens_;
}

std::optional<std::size_t> JobLedger::FindItem(const ItemId& id) const {
  const auto it = index_.find(id);
  if (it == index_.end()) return std::nullopt;
  return it->second;
}

void JobLedger::RestoreListed(const std::vector<ItemResult>& listed) {
  assert(listed_.empty());
  MarkListed(listed);
}

void JobLedger::RestoreProgress(std::size_t i, const ItemProgress& prior) {
  if (!prior.is_resumable()) return;
  if (!prior.Fits(spec_.oldest_allowed, limits_.wants_single_version)) return;
  states_[i].progress = prior;
  states_[i].is_resumed = true;
}

void JobLedger::StartRun(std::size_t i, TimePoint now) {
  assert(states_[i].phase == ItemPhase::kWaiting);
  states_[i].phase = ItemPhase::kRunning;
  states_[i].phase_start = now;
}

ItemProgress::Outcome JobLedger::AddEvent(std::size_t i,
                                          const proxy::StreamEvent& event,
                                          WeightVersion version,
                                          const SoftwareVersion& software) {
  assert(states_[i].phase == ItemPhase::kRunning);
  return states_[i].progress.Add(event, version, software);
}

void JobLedger::MarkRunBroken(std::size_t i, TimePoint now) {
  if (states_[i].phase != ItemPhase::kRunning) return;
  states_[i].phase = ItemPhase::kWaiting;
  states_[i].phase_start = now;
}

void JobLedger::MarkRunFailed(std::size_t i, TimePoint now) {
  if (++states_[i].failures >= limits_.max_attempts) {
    GiveUp(i, now);
    return;
  }
  MarkRunBroken(i, now);
}

void JobLedger::GiveUp(std::size_t i, TimePoint now) {
  states_[i].is_given_up = true;
  Finish(i, now);
}

void JobLedger::Finish(std::size_t i, TimePoint now) {
  states_[i].phase = ItemPhase::kFinished;
  states_[i].phase_start = now;
}

void JobLedger::MarkRunComplete(std::size_t i, TimePoint now) {
  assert(states_[i].phase == ItemPhase::kRunning);
  if (spec_.items[i].reward.has_value()) {
    states_[i].phase = ItemPhase::kScoring;
    states_[i].phase_start = now;
    return;
  }
  Finish(i, now);
}

void JobLedger::SetScore(std::size_t i, std::string score, TimePoint now) {
  if (states_[i].phase != ItemPhase::kScoring) return;
  states_[i].score = std::move(score);
  Finish(i, now);
}

void JobLedger::MarkRewardFailed(std::size_t i, std::uint32_t answers,
                                 std::uint32_t limit, TimePoint now) {
  if (states_[i].phase != ItemPhase::kScoring) return;
  states_[i].reward_failures += answers;
  if (states_[i].reward_failures >= limit) GiveUp(i, now);
}

std::vector<std::size_t> JobLedger::Expire(TimePoint now) {
  std::vector<std::size_t> expired;
  if (now < limits_.give_up_time) return expired;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (IsFinal(states_[i].phase)) continue;
    GiveUp(i, now);
    expired.push_back(i);
  }
  return expired;
}

void JobLedger::ClearProgress(std::size_t i) { states_[i].progress = {}; }

bool JobLedger::IsGroupFinal(std::size_t i) const {
  const auto& members = groups_.at(spec_.items[i].group);
  return std::all_of(members.begin(), members.end(), [this](std::size_t k) {
    return IsFinal(states_[k].phase);
  });
}

std::vector<ItemResult> JobLedger::ResultsToList(TimePoint now,
                                                 Duration longest_wait) const {
  bool is_due = false;
  std::vector<std::size_t> final_items;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (states_[i].phase != ItemPhase::kFinished) continue;
    final_items.push_back(i);
    is_due = is_due || IsGroupFinal(i) ||
             now - states_[i].phase_start >= longest_wait;
  }
  if (!is_due) return {};
  std::sort(final_items.begin(), final_items.end(),
            [this](std::size_t a, std::size_t b) {
              return states_[a].phase_start < states_[b].phase_start;
            });
  std::vector<ItemResult> results;
  std::size_t bytes = 0;
  for (const std::size_t i : final_items) {
    ItemResult result = ResultOf(i);
    bytes += EncodedSize(result);
    if (!results.empty() && bytes > kMaxJobValueBytes) break;
    results.push_back(std::move(result));
  }
  return results;
}

ItemResult JobLedger::ResultOf(std::size_t i) const {
  ItemResult result;
  result.id = spec_.items[i].id;
  if (states_[i].is_given_up) return result;
  result.is_complete = true;
  result.text = states_[i].progress.text();
  result.versions = states_[i].progress.versions();
  result.score = states_[i].score;
  return result;
}

void JobLedger::MarkListed(const std::vector<ItemResult>& results) {
  for (const ItemResult& result : results) {
    const auto i = FindItem(result.id);
    if (!i.has_value() || states_[*i].phase == ItemPhase::kListed) continue;
    states_[*i].phase = ItemPhase::kListed;
    // The list now holds the text.
    states_[*i].progress = {};
    states_[*i].is_given_up = !result.is_complete;
    listed_.push_back(result);
  }
}

ResultPage JobLedger::Page(std::uint64_t after) const {
  return MakePage(listed_, item_count(), after);
}

ResultPage MakePage(const std::vector<ItemResult>& listed, std::uint64_t total,
                    std::uint64_t after) {
  ResultPage page;
  page.total = total;
  page.next = after;
  std::size_t bytes = 0;
  for (std::size_t i = after; i < listed.size(); ++i) {
    bytes += listed[i].text.size();
    if (!page.results.empty() && bytes > kMaxPageBytes) break;
    page.results.push_back(listed[i]);
    page.next = i + 1;
  }
  return page;
}

bool JobLedger::IsGroupComplete(const std::vector<std::size_t>& members) const {
  return std::all_of(members.begin(), members.end(), [this](std::size_t i) {
    return states_[i].phase == ItemPhase::kListed && !states_[i].is_given_up;
  });
}

std::size_t JobLedger::CountCompleteGroups() const {
  std::size_t n = 0;
  for (const auto& [group, members] : groups_) n += IsGroupComplete(members);
  return n;
}

std::vector<ItemGroup> JobLedger::GroupsCompletedBy(
    const std::vector<ItemResult>& results) const {
  std::set<ItemGroup> touched;
  for (const ItemResult& result : results) {
    const auto i = FindItem(result.id);
    if (i.has_value()) touched.insert(spec_.items[*i].group);
  }
  std::vector<ItemGroup> complete;
  for (const ItemGroup& group : touched) {
    if (IsGroupComplete(groups_.at(group))) complete.push_back(group);
  }
  return complete;
}

}  // namespace briarspread::batch
