#ifndef BRIARSPREAD_CONTRACTS_CLAIM_BATCH_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_BATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/contracts/home_table.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Maximum length of an idempotency key in bytes.
inline constexpr std::size_t kMaxKeyBytes = 128;
/// Maximum number of claims in one log segment or one batch to a standby. With
/// keys of the maximum length a segment of this size is below the store's limit
/// for a value.
inline constexpr std::size_t kMaxBatchClaims = 4096;

/// Returns whether a caller's key has 1 to `kMaxKeyBytes` printable ASCII
/// characters. Arbitrary bytes can't be written as JSON text. Thread-safe.
bool IsValidKey(std::string_view key);

/// The right to run the request with one idempotency key. The claim must be
/// committed before the request runs.
struct Claim {
  /// The caller's idempotency key.
  RequestKey key;
  /// Hash of the request's body.
  Fingerprint fingerprint;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// One entry of a home's claim log.
struct ClaimSegment {
  /// The operation that wrote the segment. Identifies the writer when the
  /// response to the write was lost and the segment is read back.
  OperationId operation;
  /// Whether the segment ends the log. The owner of the home's term is then
  /// deposed.
  bool is_seal = false;
  /// The standby process whose acknowledgement is enough to commit claims after
  /// this segment. Empty if each claim must be in the log before it runs.
  std::optional<ProcessId> standby;
  /// Whether the log, with this segment, holds every claim committed before.
  bool is_complete = false;
  /// Whether claims of earlier terms may be lost: neither in a log nor in a
  /// standby's copy.
  bool has_gap = false;
  std::vector<Claim> claims;

  friend bool operator==(const ClaimSegment&, const ClaimSegment&) = default;
};

/// A batch of claims that a home's owner sends to the home's standby.
struct ClaimBatch {
  HomeName home;
  /// The owner's term.
  Epoch term;
  /// Number of the batch within the owner's term. Lets both sides detect late
  /// batches and late replies.
  std::uint64_t sequence = 0;
  /// The incarnation of the standby as known to the owner; ignored if
  /// `is_reset`.
  Incarnation standby_incarnation;
  /// Whether the claims replace all claims that the standby holds for the home.
  bool is_reset = false;
  /// Number of the last acknowledgement that the owner received. Renews the
  /// standby's lease for a takeover without the store, counted from when the
  /// standby sent that acknowledgement. Zero renews nothing.
  std::uint64_t granted_ack = 0;
  /// Empty for a heartbeat.
  std::vector<Claim> claims;

  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

/// The outcome of sending a batch to a standby. Encoded as a number in JSON.
enum class ClaimBatchOutcome {
  /// The standby holds the claims.
  kAcked,
  /// The standby has fenced its copy for a takeover, or knows a later term of
  /// the home: the sender is deposed.
  kDeposed,
  /// The standby rejected the batch: it has no copy in sync to add the claims
  /// to, or the batch is late or meant for another incarnation.
  kNotInSync,
  /// There was no reply in time. The standby may hold the claims.
  kNoReply,
  /// The standby's address refused the connection, so its process has ended.
  kProcessDead,
};

/// A standby's reply to one batch.
struct ClaimBatchReply {
  ClaimBatchOutcome outcome = ClaimBatchOutcome::kNoReply;
  /// The `sequence` of the batch.
  std::uint64_t sequence = 0;
  /// The incarnation of the standby.
  Incarnation incarnation;
  /// Number of the acknowledgement; above zero if `outcome` is `kAcked`.
  std::uint64_t ack = 0;

  friend bool operator==(const ClaimBatchReply&,
                         const ClaimBatchReply&) = default;
};

/// Serializes a message as JSON. Thread-safe.
std::string ToJson(const ClaimSegment& segment);
std::string ToJson(const ClaimBatch& batch);
std::string ToJson(const ClaimBatchReply& reply);

/// Parses a message. Returns `kInvalidArgument` if the text is malformed or too
/// large. Thread-safe.
Result<ClaimSegment> ParseClaimSegment(std::string_view text);
Result<ClaimBatch> ParseClaimBatch(std::string_view text);
Result<ClaimBatchReply> ParseClaimBatchReply(std::string_view text);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_BATCH_H_
