#ifndef BRIARSPREAD_BATCH_JOB_LEDGER_H_
#define BRIARSPREAD_BATCH_JOB_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"
#include "briarspread/core/key_value_store.h"

namespace briarspread::batch {

/// Limits that a job's route sets for its items.
struct JobLimits {
  /// When the results are due, and when items that are not final are given up.
  TimePoint due{};
  TimePoint give_up_time{};
  /// Number of failed runs after which an item is given up.
  std::uint32_t max_attempts = 1;
  bool wants_single_version = false;
};

/// State of an item.
enum class ItemPhase {
  kWaiting,
  kRunning,
  /// The text is complete; its reward call is pending or in flight.
  kScoring,
  /// The result is final but not listed yet.
  kFinished,
  /// The result is listed.
  kListed,
};

struct ItemState {
  ItemPhase phase = ItemPhase::kWaiting;
  ItemProgress progress;
  /// Runs that the engine answered with a failure.
  std::uint32_t failures = 0;
  /// Failures with which upstreams answered its reward calls.
  std::uint32_t reward_failures = 0;
  std::string score;
  bool is_given_up = false;
  /// Whether the item resumes text from the cache, a checkpoint or a handover.
  bool is_resumed = false;
  /// When the item entered its current phase; not updated when it is listed.
  TimePoint phase_start{};
};

/// Tracks the state of a job's items and its list of results, and decides when
/// results are listed. A result enters the list once the store holds it, and
/// keeps its position for good. Not thread-safe.
class JobLedger final {
 public:
  JobLedger(JobSpec spec, const JobLimits& limits, TimePoint now);

  const JobSpec& spec() const { return spec_; }
  const JobLimits& limits() const { return limits_; }
  /// Replaces the limits, after the job's route has changed.
  void SetLimits(const JobLimits& limits) { limits_ = limits; }
  std::size_t item_count() const { return spec_.items.size(); }
  const ItemState& item(std::size_t i) const { return states_[i]; }
  std::optional<std::size_t> FindItem(const ItemId& id) const;

  /// Returns the item's expected length relative to the mean of the job.
  double RelativeLength(std::size_t i) const;

  /// Restores the results that earlier owners listed. Precondition: no result
  /// is listed.
  void RestoreListed(const std::vector<ItemResult>& listed);
  /// Restores progress from an earlier job or owner; ignored if its weight
  /// versions are not allowed in this job, or if no engine may go on with it.
  void RestoreProgress(std::size_t i, const ItemProgress& prior);

  void StartRun(std::size_t i, TimePoint now);
  ItemProgress::Outcome AddEvent(std::size_t i, const proxy::StreamEvent& event,
                                 WeightVersion version,
                                 const SoftwareVersion& software);
  /// Called when a run ended without the complete text; the item waits again.
  void MarkRunBroken(std::size_t i, TimePoint now);
  /// Called when the engine answered with a failure; the item waits again, or
  /// is given up after too many failures.
  void MarkRunFailed(std::size_t i, TimePoint now);
  /// Makes the result of the item final as given up.
  void GiveUp(std::size_t i, TimePoint now);
  /// Called when the text is complete. The item then needs its score if it has
  /// a reward call; otherwise its result is final.
  void MarkRunComplete(std::size_t i, TimePoint now);
  void SetScore(std::size_t i, std::string score, TimePoint now);
  /// Called when a reward call failed after `answers` failures of upstreams.
  /// Gives the item up once all its reward calls together have had `limit`
  /// failures.
  void MarkRewardFailed(std::size_t i, std::uint32_t answers,
                        std::uint32_t limit, TimePoint now);
  /// Gives up all items without a final result if the job's time is over, and
  /// returns them.
  std::vector<std::size_t> Expire(TimePoint now);
  /// Discards text that the job may not use, so that the item restarts.
  void ClearProgress(std::size_t i);

  /// Returns the final results to list now, in the order of their positions:
  /// all final results, up to a maximum size, if one of them completes its
  /// group or has waited for `longest_wait`; otherwise none.
  std::vector<ItemResult> ResultsToList(TimePoint now,
                                        Duration longest_wait) const;
  /// Appends results, which the store holds, to the list.
  void MarkListed(const std::vector<ItemResult>& results);

  const std::vector<ItemResult>& listed() const { return listed_; }
  bool is_all_listed() const { return listed_.size() == item_count(); }
  /// Returns listed results from position `after` on, up to a maximum size in
  /// bytes but at least one if there is one.
  ResultPage Page(std::uint64_t after) const;
  /// Returns the number of groups of which all items are listed as complete.
  std::size_t CountCompleteGroups() const;
  /// Returns the complete groups that contain one of `results`. Precondition:
  /// `results` were listed last.
  std::vector<ItemGroup> GroupsCompletedBy(
      const std::vector<ItemResult>& results) const;

 private:
  ItemResult ResultOf(std::size_t i) const;
  void Finish(std::size_t i, TimePoint now);
  bool IsGroupFinal(std::size_t i) const;
  bool IsGroupComplete(const std::vector<std::size_t>& members) const;

  const JobSpec spec_;
  JobLimits limits_;
  std::vector<ItemState> states_;
  /// Mean of the expected output tokens, plus one so that it is never zero.
  double mean_tokens_ = 1;
  std::map<ItemId, std::size_t> index_;
  std::map<ItemGroup, std::vector<std::size_t>> groups_;
  std::vector<ItemResult> listed_;
};

/// Returns results of a list from position `after` on, up to a maximum size in
/// bytes but at least one if there is one. Thread-safe.
ResultPage MakePage(const std::vector<ItemResult>& listed, std::uint64_t total,
                    std::uint64_t after);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_LEDGER_H_
