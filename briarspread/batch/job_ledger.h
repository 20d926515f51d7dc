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

/// What a job's route says of its items.
struct JobTerms {
  /// When results are due, and when an item may be given up.
  TimePoint due{};
  TimePoint gives_up{};
  /// Failed runs after which an item is given up.
  std::uint32_t max_attempts = 1;
  bool wants_single_version = false;
};

/// Where an item stands.
enum class ItemPhase {
  kWaiting,
  kRunning,
  /// The text is whole; its reward call is to be made or under way.
  kScoring,
  /// The result is final and waits to be listed.
  kFinished,
  /// The result stands in the list.
  kListed,
};

/// One item and its state.
struct ItemState {
  ItemPhase phase = ItemPhase::kWaiting;
  ItemProgress progress;
  /// Runs that the engine answered with a failure.
  std::uint32_t failures = 0;
  /// Answers of failure to its reward calls.
  std::uint32_t reward_failures = 0;
  std::string score;
  bool is_given_up = false;
  /// Whether text of an earlier job was taken over.
  bool is_carried = false;
  /// When it last came into its phase; not kept once it is listed.
  TimePoint since{};
};

/// Keeps the items of one job and the list of results, and decides what is
/// listed when. A result enters the list once the store has it, at one
/// position, for good. Holds no thread; not thread-safe.
class JobLedger final {
 public:
  JobLedger(JobSpec spec, const JobTerms& terms, TimePoint now);

  const JobSpec& spec() const { return spec_; }
  const JobTerms& terms() const { return terms_; }
  std::size_t item_count() const { return spec_.items.size(); }
  const ItemState& item(std::size_t i) const { return states_[i]; }
  std::optional<std::size_t> FindItem(const ItemId& id) const;

  /// An item's expected length against the mean of the job's items.
  double RelativeLength(std::size_t i) const;

  /// Takes results that an earlier owner listed. Precondition: nothing was
  /// listed here.
  void Restore(const std::vector<ItemResult>& listed);
  /// Takes over text of an earlier job, where it fits this one.
  void Carry(std::size_t i, const ItemProgress& progress);

  void StartRun(std::size_t i, TimePoint now);
  ItemProgress::Outcome AddEvent(std::size_t i, const proxy::StreamEvent& event,
                                 WeightVersion version);
  /// A run ended without the whole text; the item waits again.
  void RunBroken(std::size_t i, TimePoint now);
  /// The engine answered with a failure.
  void RunFailed(std::size_t i, TimePoint now);
  /// The item can never be done.
  void GiveUp(std::size_t i, TimePoint now);
  /// The text is whole. What follows is its reward call, or its listing.
  void RunComplete(std::size_t i, TimePoint now);
  void Scored(std::size_t i, std::string score, TimePoint now);
  /// The reward call was answered by so many failures; gives the item up once
  /// they are `limit` or more.
  void RewardFailed(std::size_t i, std::uint32_t answers, std::uint32_t limit,
                    TimePoint now);
  /// Gives up items that are past their time, and returns them.
  std::vector<std::size_t> Expire(TimePoint now);
  /// Drops text that the job may not use, so that the item starts anew.
  void DropText(std::size_t i);

  /// Final results that are to be listed now, in the order of their positions:
  /// all that are final, once a group is whole by them or one has waited for
  /// `longest_wait`. Empty otherwise.
  std::vector<ItemResult> TakeDue(TimePoint now, Duration longest_wait) const;
  /// The store has these results; they stand in the list from now on.
  void MarkListed(const std::vector<ItemResult>& results);

  const std::vector<ItemResult>& listed() const { return listed_; }
  bool is_all_listed() const { return listed_.size() == item_count(); }
  /// Results from a position on, within a bound of bytes, one at least.
  ResultPage Page(std::uint64_t after) const;
  /// Groups of which every item is listed as complete.
  std::size_t CompleteGroups() const;
  /// Those of them that these results, the last listed, have completed.
  std::vector<ItemGroup> GroupsCompletedBy(
      const std::vector<ItemResult>& results) const;

 private:
  ItemResult ResultOf(std::size_t i) const;
  void Finish(std::size_t i, TimePoint now);
  bool CompletesGroup(std::size_t i) const;
  bool IsCompleteInList(const std::vector<std::size_t>& members) const;

  const JobSpec spec_;
  const JobTerms terms_;
  std::vector<ItemState> states_;
  /// Of the expected output tokens; above zero.
  double mean_tokens_ = 1;
  std::map<ItemId, std::size_t> index_;
  std::map<ItemGroup, std::vector<std::size_t>> groups_;
  std::vector<ItemResult> listed_;
};

/// Results of a list from a position on, within a bound of bytes, one at least
/// where there is one. Thread-safe.
ResultPage MakePage(const std::vector<ItemResult>& listed, std::uint64_t total,
                    std::uint64_t after);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_LEDGER_H_
