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

/// Settings for committing a home's claims.
struct ClaimHomeSettings {
  StandbySettings standby;
  /// In the in-sync mode: minimum time between two log segments, during which
  /// committed claims that only the standby holds are collected.
  milliseconds log_delay{1000};
};

/// One period during which one process owns a home.
struct HomeTerm {
  HomeName home;
  /// The epoch of the table at which the owner took the home over.
  Epoch term;
  ProcessId owner;
};

/// A segment to append to the log.
struct AppendRequest {
  /// The segment's position in the log, from zero.
  std::uint64_t number = 0;
  ClaimSegment segment;
};

/// State machine of a home's owner. Decides when claims are committed, after
/// which their requests may run.
///
/// - Out of sync: a claim is committed when it is in the log.
/// - In sync: a claim is committed when the standby holds it, whether or not
///   the store is available. The claim is due for the log after `log_delay`.
/// - Solo, at a standby that took over without the store: a claim is committed
///   immediately. The term's log still names the standby, so a successor
///   without that standby's copy knows that claims may be lost.
///
/// A home leaves the in-sync mode only by writing a segment that holds all
/// claims committed so far and names no standby. It writes that segment only
/// after the standby's process has ended or the standby's lease for a takeover
/// without the store has expired.
///
/// The class does no I/O. After each call, `NextAppend` and `NextStandbyBatch`
/// return what must be sent. At most one commit and one append are in flight.
/// Not thread-safe.
class ClaimHome {
 public:
  /// State of the current commit.
  enum class CommitState {
    /// There is no commit, or `FinishCommit` ended the last one.
    kIdle,
    /// Waiting for the store or the standby.
    kPending,
    /// The claims are committed: their requests may run.
    kCommitted,
    /// The claims are not committed: their requests must not run.
    kRefused,
  };

  /// How claims are committed; see the class.
  enum class Mode { kOutOfSync, kInSync, kSolo };

  /// Starts serving `term` in the out-of-sync mode. `unlogged` are claims of
  /// earlier terms that are in no log. Segments written before `gap_end` state
  /// that claims of earlier terms may be lost. `standby` may be empty.
  /// Precondition: the home table in the store names `term`.
  ClaimHome(ClaimHomeSettings settings, HomeTerm term, InstanceId standby,
            std::vector<Claim> unlogged, TimePoint gap_end);

  /// Starts serving, in the solo mode, a home taken over without the store.
  /// Precondition: `ClaimStandby::CanTakeOverInMemory` returned true and the
  /// copy of the claims was then fenced.
  static ClaimHome Solo(ClaimHomeSettings settings, HomeTerm term);

  /// Starts a commit of `claims`. No claims make a heartbeat, which also writes
  /// the first log segment of a new term. Preconditions: `commit_state()` is
  /// `kIdle`; there are at most `kMaxBatchClaims` claims.
  void BeginCommit(std::vector<Claim> claims);

  /// Starts bringing the standby in sync with `known`, which must be all
  /// committed claims of the re-send window, in batches of up to
  /// `kMaxBatchClaims`. Counts as a commit: its result is read from
  /// `commit_state()`. Precondition: `can_sync()`.
  void BeginSync(std::vector<Claim> known);

  /// Returns whether `BeginSync` may be called now.
  bool can_sync() const;

  /// Returns whether a heartbeat is needed: to renew the standby's takeover
  /// lease, to write the first log segment, or to write claims that the log
  /// lacks.
  bool needs_heartbeat() const;

  /// Returns the next segment to append, if one is due. The caller must report
  /// the result of each segment with one call of `OnAppend`.
  std::optional<AppendRequest> NextAppend(TimePoint now);
  /// Returns the next batch to send to the standby, if one is due. The caller
  /// must report the reply to each batch with one call of `OnStandbyReply`,
  /// with the outcome `kNoReply` if there was no reply.
  std::optional<ClaimBatch> NextStandbyBatch();

  /// Handles the result of the append in flight.
  void OnAppend(AppendResult result, TimePoint now);
  /// Handles the standby's reply. Replies to earlier batches are ignored.
  void OnStandbyReply(const ClaimBatchReply& reply, TimePoint now);

  /// Records that another process owns the home. The current commit and all
  /// later ones are refused.
  void Depose();

  CommitState commit_state() const { return commit_; }
  /// Returns the result of the finished commit, `kCommitted` or `kRefused`, and
  /// sets the state to `kIdle`. Precondition: the commit has finished.
  CommitState FinishCommit();

  /// Returns whether another process owns the home, so that no claim can be
  /// committed here.
  bool is_deposed() const { return deposed_; }
  Mode mode() const { return mode_; }
  const HomeTerm& term() const { return term_; }
  /// Returns the committed claims that are not in the log yet.
  const std::vector<Claim>& unlogged() const { return unlogged_; }

  /// Returns the state as text, for logs and for comparing states in tests.
  std::string DebugString(TimePoint now) const;

 private:
  void RouteCommit();
  bool HasLeaseExpired(TimePoint now) const;
  void SetCommitResult(CommitState state);
  bool IsCommitSegmentDue() const;
  ClaimSegment MakeSegment(TimePoint now);
  void OnAppended(TimePoint now);
  void OnAcked(const ClaimBatchReply& reply, TimePoint now);
  void OnStandbyLost();
  OperationId NextOperation();

  ClaimHomeSettings settings_;
  HomeTerm term_;
  /// The standby's instance; empty if there is none.
  InstanceId standby_;
  /// Until when claims of earlier terms may be lost.
  TimePoint gap_end_;
  /// The standby process that is in sync or is being brought in sync.
  ProcessId standby_process_;
  Mode mode_ = Mode::kOutOfSync;
  /// Whether another process owns the home.
  bool deposed_ = false;
  /// Whether the next segment must end the in-sync mode.
  bool leaving_sync_ = false;
  /// Whether it is proved that the standby process in sync has ended.
  bool standby_dead_ = false;

  /// State of the current commit.
  CommitState commit_ = CommitState::kIdle;
  /// The claims of the current commit.
  std::vector<Claim> batch_;
  /// Whether the current commit is a sync of the standby.
  bool syncing_ = false;
  /// Number of claims of the sync that the standby holds.
  std::size_t synced_count_ = 0;
  /// Whether the standby holds all claims of the sync, so that a segment that
  /// names the standby is due.
  bool sync_acked_ = false;

  /// Committed claims that are not in the log.
  std::vector<Claim> unlogged_;
  /// In the in-sync mode: when the first claim was added to the empty
  /// `unlogged_`, or when the last append ended, if that was later.
  TimePoint log_delay_start_;
  /// The segment in flight or of unknown outcome. Another segment may be
  /// written at its position only after its outcome is known.
  std::optional<AppendRequest> append_;
  /// Whether the outcome of an earlier attempt to write `append_` is unknown.
  bool append_may_be_written_ = false;
  /// Whether the result of `append_` is outstanding.
  bool append_in_flight_ = false;
  /// Number of claims from the front of `unlogged_` in `append_`.
  std::size_t append_unlogged_count_ = 0;
  /// Whether `append_` contains the claims of the current commit.
  bool append_has_batch_ = false;
  /// The number of segments in the log as far as known.
  std::uint64_t next_segment_ = 0;
  /// The number of the last operation id generated.
  std::uint64_t last_operation_ = 0;

  /// Whether a batch must be sent to the standby.
  bool standby_batch_due_ = false;
  /// Whether the reply to a batch is outstanding.
  bool standby_batch_in_flight_ = false;
  /// The sequence number of the last batch.
  std::uint64_t last_sequence_ = 0;
  /// The number of the last acknowledgement received. The next batch confirms
  /// it to the standby.
  std::uint64_t last_ack_ = 0;
  /// When the last acknowledgement was received. The standby sent it earlier,
  /// so its takeover lease expires at most `takeover_lease` after this time.
  TimePoint last_ack_at_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_HOME_H_
