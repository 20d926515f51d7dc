#ifndef BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/core/key_value_store.h"

namespace briarspread {

/// Result of an append.
enum class AppendResult {
  /// The segment is in the log.
  kAppended,
  /// Another process's segment is at this position: the log is sealed.
  kSealed,
  /// The store rejected the write; it is certain that nothing was written.
  kUnavailable,
  /// The segment may already be in the log, or may still be written.
  kUnknown,
};

/// Summary of a log that no process can append to any more.
struct SealedLog {
  /// All claims in the log.
  std::vector<Claim> claims;
  /// The standby that may hold further committed claims in memory, if any.
  std::optional<ProcessId> standby;
  /// Whether the log holds every committed claim. False if `standby` is set, if
  /// the log has no segment, or if its last segment is not marked as complete.
  bool is_complete = false;
  /// Whether claims of earlier terms may be lost: neither in a log nor in a
  /// standby's copy.
  bool has_gap = false;

  friend bool operator==(const SealedLog&, const SealedLog&) = default;
};

/// Summarizes the segments of a sealed log. Thread-safe.
SealedLog Summarize(const std::vector<ClaimSegment>& segments);

/// The claim logs in the store. There is one log per home and term; each
/// segment is a key that is created once and never overwritten. Both appending
/// and sealing create the next segment, so if they race, exactly one succeeds
/// and the other sees the winner's segment.
/// Thread-safe.
class ClaimLog {
 public:
  /// Precondition: `store` outlives this object.
  explicit ClaimLog(KeyValueStore& store) : store_(store) {}

  /// Creates segment `number`. Repeating a call with the same arguments is safe
  /// and finds out the outcome after an earlier `kUnknown`.
  AppendResult Append(const HomeName& home, Epoch term, std::uint64_t number,
                      const ClaimSegment& segment);

  /// Seals the log unless it is sealed already, and reads it. After an error
  /// the log may or may not be sealed; repeating the call is safe.
  /// Precondition: `operation` is used for no other operation.
  Result<SealedLog> Seal(const HomeName& home, Epoch term,
                         const OperationId& operation);

  /// Returns the claims of all terms of the home that were not trimmed yet.
  Result<std::vector<Claim>> ReadAllTerms(const HomeName& home);

  /// Deletes one segment whose claims are older than the re-send window.
  /// Precondition: a later segment of the term is kept, because the log's
  /// length is derived from the number of its last segment.
  Status TrimSegment(const HomeName& home, Epoch term, std::uint64_t number);
  /// Deletes the logs of all terms before `term`. Precondition: `term` started
  /// longer ago than the re-send window.
  Status TrimTermsBefore(const HomeName& home, Epoch term);

 private:
  /// The segments in the store under a prefix.
  struct Stored {
    std::vector<ClaimSegment> segments;
    /// The number after that of the last segment.
    std::uint64_t next_number = 0;
  };
  Result<Stored> Read(const std::string& prefix);

  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_
