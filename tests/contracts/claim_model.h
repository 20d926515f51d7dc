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

/// Protections of the protocol that an exploration can omit.
enum class Omission {
  kNone,
  kCommitBeforeRun,
  kSeal,
  kFence,
  kProofOfDeath,
  kStandbyEvidence,
  kLeaseExpiry,
  kUnknownAppend,
  kInheritedClaims,
};

/// How many of each event may occur on one path of the exploration.
struct FaultBudget {
  int crashes = 1;
  int outages = 1;
  int lost_store_responses = 1;
  int lost_batches = 1;
  int time_steps = 2;
  int sends_of_first_key = 2;
  int sends_of_second_key = 1;
  int refused_runs = 0;
  int syncs = 0;
};

/// The processes of the model: the home's owner, its standby, and another
/// instance. A paused process is modelled by paths on which it takes no steps.
enum ProcessIndex { kOwner = 0, kStandby = 1, kOther = 2, kProcesses = 3 };

/// The state of a process that serves the home.
struct Service {
  ClaimHome home;
  KeyTable keys;
  /// Keys that wait for a commit, keys in the current commit, and keys that are
  /// committed but have not run.
  std::set<RequestKey> claiming, committing, runnable;
  /// The append in flight, and its result after the store has handled it.
  std::optional<AppendRequest> append;
  std::optional<AppendResult> append_result;
  /// The batch in flight, and its reply after the standby has handled it.
  std::optional<ClaimBatch> batch;
  std::optional<ClaimBatchReply> batch_reply;
  /// Whether the current commit started after a takeover with a gap. Its keys
  /// must not be committed: they could be re-sent to the successor after the
  /// successor's re-send window.
  bool started_after_gap = false;
};

/// The last completed step of a process's takeover through the store.
enum class TakeoverPhase { kNone, kFenced, kSealed, kDone };

/// A state of one home with two keys, for exhaustive exploration. Uses the
/// classes of the contracts library; the store and the network are modelled.
class ClaimModel {
 public:
  ClaimModel(FaultBudget budget, Omission omission, bool starts_in_sync);

  /// Returns the states that are one step away.
  std::vector<ClaimModel> Successors() const;
  /// Returns the violated property, or an empty string.
  const std::string& violation() const { return violation_; }
  /// Returns whether the process ran a request.
  bool has_run(int process) const { return has_run_[process]; }
  /// Returns a text that is different for different states.
  std::string StateText() const;

 private:
  static HomeTerm TermOf(int process, std::uint64_t term);
  void BringInSync();
  void SendDueRequests(int process);
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

  /// Returns whether some key can still run a second time.
  bool CanRunTwice() const;
  /// Removes late requests that can no longer have an effect.
  void DropSettledRequests();
  void AddClientSteps(std::vector<ClaimModel>& out) const;
  void AddServiceSteps(std::vector<ClaimModel>& out, int process) const;
  void AddStoreSteps(std::vector<ClaimModel>& out, int process) const;
  void AddStandbySteps(std::vector<ClaimModel>& out, int process) const;
  void AddTakeoverSteps(std::vector<ClaimModel>& out) const;
  void AddFaultSteps(std::vector<ClaimModel>& out) const;

  FaultBudget budget_;
  Omission omission_;
  TimePoint now_;
  std::array<bool, kProcesses> alive_{true, true, true};
  std::array<std::optional<Service>, kProcesses> services_;
  std::optional<ClaimStandby> copy_;
  /// State of the store.
  bool store_up_ = true;
  std::uint64_t table_term_ = 1;
  std::map<std::uint64_t, std::vector<ClaimSegment>> logs_;
  /// Requests that timed out at the sender and may still arrive.
  std::vector<std::pair<std::uint64_t, AppendRequest>> late_appends_;
  std::vector<ClaimBatch> late_batches_;
  /// Whether a successor took over with a gap.
  bool has_gap_ = false;
  /// Takeovers through the store, by process.
  std::array<TakeoverPhase, kProcesses> phases_{};
  std::array<SealedLog, kProcesses> sealed_;
  /// Remaining sends by callers, and completed runs, by key.
  std::map<RequestKey, int> sends_left_;
  std::map<RequestKey, int> runs_;
  std::array<bool, kProcesses> has_run_{};
  std::string violation_;
};

/// Result of an exploration.
struct Exploration {
  std::size_t states = 0;
  /// Which processes ran a request in some state.
  std::array<bool, kProcesses> has_run{};
  std::string violation;
};

/// Visits every state reachable from `start`. Stops at the first violation.
Exploration Explore(const ClaimModel& start);

}  // namespace briarspread::testing

#endif  // TESTS_CONTRACTS_CLAIM_MODEL_H_
