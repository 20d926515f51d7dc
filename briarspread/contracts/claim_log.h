#ifndef BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_
#define BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/core/key_value_store.h"

namespace briarspread {

/// What came of an append.
enum class AppendResult {
  /// The segment is in the log.
  kAppended,
  /// Another's segment stands in its place: the log is sealed.
  kSealed,
  /// The store refused; certainly nothing was written.
  kUnavailable,
  /// The segment may be in the log now or later.
  kUnknown,
};

/// A log that nobody can append to any more, and what it tells a successor.
struct SealedLog {
  /// All claims in it.
  std::vector<Claim> claims;
  /// The standby whose memory may hold further claims, if any.
  std::optional<ProcessId> standby;
  /// Whether no claim can be missing. False where `standby` is set, and for a
  /// log whose owner did not finish its first segment.
  bool is_complete = false;
  /// Whether claims of earlier terms may be held by nobody.
  bool has_gap = false;

  friend bool operator==(const SealedLog&, const SealedLog&) = default;
};

/// What the segments of a sealed log tell. Thread-safe.
SealedLog Summarize(const std::vector<ClaimSegment>& segments);

/// The claim logs in the store: one per home and term, each segment a key
/// created once. Creating the next segment is the only way to append and to
/// seal, so one of the two finds that the other was first.
/// Thread-safe.
class ClaimLog {
 public:
  /// Precondition: `store` outlives this object.
  explicit ClaimLog(KeyValueStore& store) : store_(store) {}

  /// Creates segment `number`. Repeating a call with the same arguments is
  /// safe, and settles an earlier `kUnknown`.
  AppendResult Append(const HomeName& home, Epoch term, std::uint64_t number,
                      const ClaimSegment& segment);

  /// Seals the log, or finds it sealed, and reads it. An error leaves it
  /// possibly sealed; repeating the call is safe.
  /// Precondition: `operation` is not used for anything else.
  Result<SealedLog> Seal(const HomeName& home, Epoch term,
                         const OperationId& operation);

  /// The claims of all terms of the home that are still kept.
  Result<std::vector<Claim>> ReadAllTerms(const HomeName& home);

  /// Deletes one segment whose claims are older than the re-send window.
  /// Precondition: a later segment of the term stays, which tells the log's
  /// length.
  Status TrimSegment(const HomeName& home, Epoch term, std::uint64_t number);
  /// Deletes the logs of all terms before `term`. Precondition: `term` began
  /// more than a re-send window ago.
  Status TrimTermsBefore(const HomeName& home, Epoch term);

 private:
  /// Segments as stored, and the number that follows the last of them.
  struct Stored {
    std::vector<ClaimSegment> segments;
    std::uint64_t next_number = 0;
  };
  Result<Stored> Read(const std::string& prefix);

  /// The platform's service.
  KeyValueStore& store_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_CLAIM_LOG_H_
