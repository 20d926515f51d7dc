#ifndef BRIARSPREAD_CONTRACTS_CLAIM_HOME_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_HOME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/contracts/claim_log.h"
#include "briarspread/contracts/claim_standby.h"
#include "briarspread/core/clock.h"

namespace briarspread {

/// Settings of a home's commits.
struct ClaimHomeSettings {
  /// Times shared with the standby.
  StandbySettings standby;
  /// How long claims that the standby holds wait for the next segment.
  milliseconds log_delay{1000};
};

/// One owner's hold on one home.
struct HomeTerm {
  /// The home.
  HomeName home;
  /// The epoch at which the owner took it.
  Epoch term;
  /// The owner.
  ProcessId owner;
};

/// A segment to append to the log.
struct AppendRequest {
  /// Its place in the log.
  std::uint64_t number = 0;
  /// What to write.
  ClaimSegment segment;
};

/// Decides when a home's claims are committed, so that their requests may run.
///
/// - Out of sync: a claim is committed once it is in the log.
/// - In sync: a claim is committed once the standby holds it, with the store up
///   or out; the log follows within `log_delay`.
/// - Solo, at a standby that took over without the store: at once. A successor
///   knows that such a term may have left claims that nobody holds.
///
/// A home leaves the in-sync mode only by a segment that holds all claims
/// committed so far and names no standby, and writes it only once the standby
/// is dead or its right to take over without the store has lapsed.
///
/// Driven by events: after each, `TakeAppend` and `TakeWitness` say what to
/// send. At most one commit and one append are under way. Not thread-safe.
class ClaimHome {
 public:
  /// How the commit under way stands.
  enum class CommitState {
    /// No commit was begun, or its end was taken.
    kIdle,
    /// Waiting for the store or the standby.
    kPending,
    /// The claims are committed: their requests may run.
    kCommitted,
    /// The claims are not committed: their requests must not run.
    kRefused,
  };

  /// The mode of commits.
  enum class Mode { kOutOfSync, kInSync, kSolo };

  /// Serves `term`, out of sync. `unlogged` are claims of earlier terms that no
  /// log holds. Until `gap_until` the log says that claims of earlier terms may
  /// be missing. `standby` may be empty.
  /// Precondition: the store holds a table that names `term`.
  ClaimHome(ClaimHomeSettings settings, HomeTerm term, InstanceId standby,
            std::vector<Claim> unlogged, TimePoint gap_until);

  /// Serves a home taken over from a dead owner while the store is out.
  /// Precondition: the standby is fenced, after `MayTakeOverInMemory`.
  static ClaimHome Solo(ClaimHomeSettings settings, HomeTerm term);

  /// Begins to commit `claims`; empty for a heartbeat, which also opens the
  /// log of a new term. Precondition: `commit_state()` is `kIdle`;
  /// at most `kMaxBatchClaims` claims.
  void BeginCommit(std::vector<Claim> claims);

  /// Begins to bring the standby in sync with `known`, all claims of the
  /// re-send window. Ends as a commit does.
  /// Sent in several batches where there are many.
  /// Precondition: `may_sync()`.
  void BeginSync(std::vector<Claim> known);

  /// Whether `BeginSync` may be called now.
  bool may_sync() const;

  /// Whether a heartbeat has a use: to renew the standby's right, to open the
  /// log, or to settle what the log lacks.
  bool needs_heartbeat() const;

  /// The next segment to append, where one is due. Each must be followed by
  /// one `OnAppend`.
  std::optional<AppendRequest> TakeAppend(TimePoint now);
  /// The next batch for the standby, where one is due. Each must be followed
  /// by one `OnWitness`, with `kNoAnswer` where none came.
  std::optional<WitnessBatch> TakeWitness();

  /// Takes what came of the append under way.
  void OnAppend(AppendResult result, TimePoint now);
  /// Takes the standby's answer. One to an earlier batch is ignored.
  void OnWitness(const WitnessAnswer& answer, TimePoint now);

  /// Another process owns the home: refuses the commit under way and all later
  /// ones.
  void Depose();

  /// How the commit stands.
  CommitState commit_state() const { return commit_; }
  /// Ends a commit that is `kCommitted` or `kRefused`, and makes it `kIdle`.
  CommitState TakeCommit();

  /// Whether another process owns the home; nothing commits any more.
  bool is_deposed() const { return deposed_; }
  Mode mode() const { return mode_; }
  const HomeTerm& term() const { return term_; }
  /// Claims committed that the log does not hold yet.
  const std::vector<Claim>& unlogged() const { return unlogged_; }

  /// The state as text, for logs and for telling states apart.
  std::string DebugString(TimePoint now) const;

 private:
  void Route();
  bool HasLapsed(TimePoint now) const;
  void Settle(CommitState state);
  bool IsMarkDue() const;
  ClaimSegment MakeSegment(TimePoint now);
  void OnAppended(TimePoint now);
  void OnAcked(const WitnessAnswer& answer, TimePoint now);
  void OnStandbyLost();
  OperationId NextOperation();

  /// Times.
  ClaimHomeSettings settings_;
  /// What is owned.
  HomeTerm term_;
  /// The standby's instance; empty for none.
  InstanceId standby_;
  /// Until when claims of earlier terms may be missing.
  TimePoint gap_until_;
  /// The standby process in sync, or being brought in sync.
  ProcessId standby_process_;
  /// How claims are committed.
  Mode mode_ = Mode::kOutOfSync;
  /// Whether another process owns the home.
  bool deposed_ = false;
  /// Whether the in-sync mode is being left.
  bool leaving_ = false;
  /// Whether the standby process in sync is proved gone.
  bool standby_dead_ = false;

  /// The commit under way.
  CommitState commit_ = CommitState::kIdle;
  /// Its claims.
  std::vector<Claim> batch_;
  /// Whether the commit is a sync.
  bool syncing_ = false;
  /// How many claims of a sync the standby holds.
  std::size_t sync_taken_ = 0;
  /// Whether the standby took the whole sync, and the log must say so.
  bool sync_acked_ = false;

  /// Committed claims that the log does not hold.
  std::vector<Claim> unlogged_;
  /// Since when `unlogged_` is not empty, in the in-sync mode.
  TimePoint unlogged_since_;
  /// The segment under way or of unknown outcome. It must be settled before
  /// another is written in its place.
  std::optional<AppendRequest> append_;
  /// Whether an earlier attempt at `append_` ended unknown.
  bool append_has_been_unknown_ = false;
  /// Whether `append_` waits for its result.
  bool append_in_flight_ = false;
  /// How many of `unlogged_` the segment holds, from the front.
  std::size_t append_unlogged_ = 0;
  /// Whether it holds the batch of the commit under way.
  bool append_has_batch_ = false;
  /// The log's length as known.
  std::uint64_t next_segment_ = 0;
  /// Numbers operations.
  std::uint64_t last_operation_ = 0;

  /// Whether a batch is due for the standby.
  bool witness_due_ = false;
  /// Whether a batch waits for its answer.
  bool witness_in_flight_ = false;
  /// The last batch's number.
  std::uint64_t last_sequence_ = 0;
  /// The last acknowledgement received; confirmed with the next batch.
  std::uint64_t last_ack_ = 0;
  /// When it was received. The standby sent it before, so its right lapses
  /// `takeover_right` after this at the latest.
  TimePoint last_ack_at_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_HOME_H_
