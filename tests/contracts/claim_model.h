#ifndef TESTS_CONTRACTS_CLAIM_MODEL_H_
#define TESTS_CONTRACTS_CLAIM_MODEL_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_home.h"
#include "briarspread/contracts/claim_standby.h"
#include "briarspread/contracts/home_takeover.h"
#include "briarspread/contracts/key_table.h"

namespace briarspread::testing {

/// Protections that a run of the exploration may leave out.
enum class Omission {
  kNone,
  kCommitBeforeRun,
  kSeal,
  kFence,
  kProofOfDeath,
  kStandbyEvidence,
  kLapseOfRight,
  kUnknownAppend,
  kInheritedClaims,
};

/// How many of each fault a run may take.
struct FaultBudget {
  int crashes = 1;
  int outages = 1;
  int lost_store_answers = 1;
  int lost_batches = 1;
  int time_steps = 2;
  int sends_of_first_key = 2;
  int sends_of_second_key = 1;
  int refused_runs = 0;
  int syncs = 0;
};

/// The processes of the model: the home's owner, its standby, and another
/// instance. A paused process is one that takes no step for a while.
enum ProcessIndex { kOwner = 0, kStandby = 1, kOther = 2, kProcesses = 3 };

/// One process's service of the home.
struct Service {
  ClaimHome home;
  KeyTable keys;
  /// Keys waiting for a commit, under one, and committed but not yet run.
  std::set<RequestKey> claiming, committing, runnable;
  /// The append under way, and its result once the store has decided.
  std::optional<AppendRequest> append;
  std::optional<AppendResult> append_result;
  /// The batch under way, and its answer.
  std::optional<ClaimBatch> batch;
  std::optional<ClaimBatchReply> batch_answer;
  /// Whether the commit under way began after a successor's takeover with a
  /// gap. Its keys may come again when the successor's window is over.
  bool is_late = false;
};

/// How far a process's takeover with the store is.
enum class TakeoverPhase { kNone, kFenced, kSealed, kDone };

/// One home of two keys and all that can happen to it. Drives the classes of
/// the contracts library; the store and the network are modelled. Copyable.
class ClaimModel {
 public:
  ClaimModel(FaultBudget budget, Omission omission, bool starts_in_sync);

  /// The states one step away.
  std::vector<ClaimModel> Successors() const;
  /// What is violated, or an empty string.
  const std::string& violation() const { return violation_; }
  /// Whether the process ran a request.
  bool has_run(int process) const { return has_run_[process]; }
  /// Tells states apart.
  std::string Text() const;

 private:
  static HomeTerm TermOf(int process, std::uint64_t term);
  void BringInSync();
  void Drive(int process);
  void FinishCommit(Service& service);
  void Send(int process, const RequestKey& key);
  void Run(int process, const RequestKey& key, bool is_refused);
  void BeginCommit(int process);
  AppendResult Apply(std::uint64_t term, const AppendRequest& request);
  void DeliverBatch(int process);
  void DeliverAppendResult(int process, AppendResult result);
  void LoseBatch(int process);
  void Crash(int process);
  void TakeOverInMemory();
  void StepTakeover(int process);
  StandbyEvidence EvidenceOf(int process) const;
  void BecomeOwner(int process, TakeoverDecision decision);

  /// Whether some key may still run a second time.
  bool CanRunTwice() const;
  /// Drops late requests that can have no effect any more.
  void DropSettledRequests();
  void AddClientSteps(std::vector<ClaimModel>& out) const;
  void AddServiceSteps(std::vector<ClaimModel>& out, int process) const;
  void AddStoreSteps(std::vector<ClaimModel>& out, int process) const;
  void AddWitnessSteps(std::vector<ClaimModel>& out, int process) const;
  void AddTakeoverSteps(std::vector<ClaimModel>& out) const;
  void AddFaultSteps(std::vector<ClaimModel>& out) const;

  FaultBudget budget_;
  Omission omission_;
  TimePoint now_;
  std::array<bool, kProcesses> alive_{true, true, true};
  std::array<std::optional<Service>, kProcesses> services_;
  std::optional<ClaimStandby> copy_;
  /// The store.
  bool store_up_ = true;
  std::uint64_t table_term_ = 1;
  std::map<std::uint64_t, std::vector<ClaimSegment>> logs_;
  /// Requests that their senders gave up on and that may still arrive.
  std::vector<std::pair<std::uint64_t, AppendRequest>> late_appends_;
  std::vector<ClaimBatch> late_batches_;
  /// Whether a successor counts a re-send window from its takeover.
  bool has_gap_ = false;
  /// Takeovers with the store.
  std::array<TakeoverPhase, kProcesses> phases_{};
  std::array<SealedLog, kProcesses> sealed_;
  /// The caller's side.
  std::map<RequestKey, int> sends_left_;
  std::map<RequestKey, int> runs_;
  std::array<bool, kProcesses> has_run_{};
  std::string violation_;
};

/// What an exploration found.
struct Exploration {
  std::size_t states = 0;
  /// Which processes ran a request in some state.
  std::array<bool, kProcesses> has_run{};
  std::string violation;
};

/// Visits every state, or stops at the first violation.
Exploration Explore(const ClaimModel& start);

}  // namespace briarspread::testing

#endif  // TESTS_CONTRACTS_CLAIM_MODEL_H_
