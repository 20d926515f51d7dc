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

/// The longest idempotency key, in bytes.
inline constexpr std::size_t kMaxKeyBytes = 128;
/// The most claims in one segment or witness batch. With the longest keys such
/// a value stays below the store's limit.
inline constexpr std::size_t kMaxBatchClaims = 4096;

/// Whether a caller's key has 1 to `kMaxKeyBytes` printable ASCII characters;
/// others can't stand in JSON text. Thread-safe.
bool IsValidKey(std::string_view key);

/// States that a key may run from now on.
struct Claim {
  /// The caller's key.
  RequestKey key;
  /// The hash of the request's body.
  Fingerprint fingerprint;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// One entry of a home's claim log.
struct ClaimSegment {
  /// The attempt that wrote it, for reading back a lost answer.
  OperationId operation;
  /// Whether it ends the log: the home's owner is deposed.
  bool is_seal = false;
  /// The standby process whose acknowledgement alone may commit claims from
  /// here on; nothing where each claim is in the log before it runs.
  std::optional<ProcessId> standby;
  /// Whether the log now holds every claim committed before.
  bool is_complete = false;
  /// Whether claims of earlier terms may be held by nobody.
  bool has_gap = false;
  /// The claims.
  std::vector<Claim> claims;

  friend bool operator==(const ClaimSegment&, const ClaimSegment&) = default;
};

/// Claims on their way from a home to its standby.
struct WitnessBatch {
  /// The home.
  HomeName home;
  /// The owner's term.
  Epoch term;
  /// Numbers the owner's batches, so that a late one is told apart.
  std::uint64_t sequence = 0;
  /// The standby's incarnation as the owner knows it; ignored with `is_reset`.
  Incarnation standby_incarnation;
  /// Whether the claims replace all that the standby holds for the home.
  bool is_reset = false;
  /// The last acknowledgement that the owner received; renews the standby's
  /// right to take over from when it sent that one. Zero renews nothing.
  std::uint64_t granted_ack = 0;
  /// The claims; empty for a heartbeat.
  std::vector<Claim> claims;

  friend bool operator==(const WitnessBatch&, const WitnessBatch&) = default;
};

/// What a standby, or the network, makes of a batch.
enum class WitnessOutcome {
  /// The standby holds the claims.
  kAcked,
  /// The standby has taken over or was told that another did.
  kDeposed,
  /// The standby has no copy to add to.
  kNotInSync,
  /// No answer in time; the standby may hold the claims.
  kNoAnswer,
  /// The standby's address refused the connection: its process is gone.
  kProcessDead,
};

/// A standby's answer to one batch.
struct WitnessAnswer {
  /// The answer.
  WitnessOutcome outcome = WitnessOutcome::kNoAnswer;
  /// The batch's `sequence`.
  std::uint64_t sequence = 0;
  /// The standby's incarnation.
  Incarnation incarnation;
  /// Numbers the acknowledgement; above zero where `kAcked`.
  std::uint64_t ack = 0;

  friend bool operator==(const WitnessAnswer&, const WitnessAnswer&) = default;
};

/// JSON text of the messages. Thread-safe.
std::string ToJson(const ClaimSegment& segment);
std::string ToJson(const WitnessBatch& batch);
std::string ToJson(const WitnessAnswer& answer);

/// Reads the messages; `kInvalidArgument` for malformed or oversized text.
/// Thread-safe.
Result<ClaimSegment> ParseClaimSegment(std::string_view text);
Result<WitnessBatch> ParseWitnessBatch(std::string_view text);
Result<WitnessAnswer> ParseWitnessAnswer(std::string_view text);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_BATCH_H_
