#ifndef BRIARSPREAD_CONTRACTS_KEY_TABLE_H_
#define BRIARSPREAD_CONTRACTS_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/contracts/claim_batch.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/core/verdict.h"

namespace briarspread {

/// The outcome of a request with an idempotency key, with the response to
/// return to each re-send.
struct KeyedOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  /// HTTP status of the response. Like the headers and the body, set only if
  /// `verdict` is `kAnswered`.
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// Settings of a key table.
struct KeyTableSettings {
  /// How long a caller may re-send a request with the same key.
  seconds resend_window{600};
  /// Maximum number of keys in the table. New keys above it are refused.
  std::size_t max_keys = 200'000;
  /// Maximum total size of the bodies of stored responses. Above it, the oldest
  /// responses are evicted and re-sends of their keys get `kMayHaveRun`.
  ByteCount max_response_bytes{64'000'000};
};

/// What the caller of `KeyTable::Begin` must do with a request.
enum class KeyAction {
  /// Commit a claim, then call `OnCommitted` or `OnRefused`.
  kClaim,
  /// Run the request, then call `Finish`.
  kRun,
  /// Wait: a request with the same key is being claimed or is running.
  kWait,
  /// Return the stored response from `ResponseOf`.
  kAnswered,
  /// Refuse the request: it may have run and must not run again.
  kMayHaveRun,
  /// Refuse the request: the key was used with another body.
  kMismatch,
  /// Refuse the request: the table is full.
  kFull,
};

/// The state of each idempotency key of a home. Not thread-safe.
class KeyTable {
 public:
  /// Creates an empty table.
  explicit KeyTable(KeyTableSettings settings) : settings_(settings) {}

  /// Adds claims of earlier terms, whose requests must not run again. Replaces
  /// the state of keys that are already in the table.
  void AddClaims(const std::vector<Claim>& claims, TimePoint now);
  /// Like `AddClaims`, but keeps the state of keys that are already in the
  /// table.
  void AddMissingClaims(const std::vector<Claim>& claims, TimePoint now);
  /// Records that claims of terms before `term` may be lost. From `now` until
  /// the re-send window ends, new keys that may have been created before `term`
  /// get `kMayHaveRun`.
  void SetGap(Epoch term, TimePoint now);
  /// Returns until when claims of earlier terms may be lost.
  TimePoint gap_end() const { return gap_end_; }

  /// Decides how to handle a request. `created_in` is the table's epoch that
  /// the caller knew when it created the key; zero if unknown. If the result is
  /// `kClaim` the key is now being claimed; if `kRun` its request is running.
  KeyAction Begin(const Claim& claim, Epoch created_in, TimePoint now);

  /// Records that the claim was committed and its request is now running.
  /// Precondition: `Begin` returned `kClaim`.
  void OnCommitted(const RequestKey& key);
  /// Records that the claim was not committed and its request must not run.
  /// Removes the key. Precondition: `Begin` returned `kClaim`.
  void OnRefused(const RequestKey& key);
  /// Records the outcome of a request. After the verdict `kNotRun` the request
  /// runs when it is sent again. Changes nothing if the key's request is not
  /// running in this table, for example because the home was lost and taken
  /// over again meanwhile.
  void Finish(const RequestKey& key, KeyedOutcome outcome, TimePoint now);

  /// Returns the stored response, or null if there is none. The pointer is
  /// valid until the table changes.
  const KeyedOutcome* ResponseOf(const RequestKey& key) const;

  /// Removes keys whose re-send window has ended.
  void Expire(TimePoint now);

  /// Returns the claims of all keys in the table that are committed.
  std::vector<Claim> CommittedClaims() const;
  std::size_t size() const { return keys_.size(); }

  /// Returns the state as text, for logs and for comparing states in tests.
  std::string DebugString() const;

 private:
  enum class State { kClaiming, kRunning, kReleased, kAnswered, kMayHaveRun };
  struct Entry {
    /// Hash of the request's body.
    Fingerprint fingerprint;
    State state = State::kClaiming;
    /// When the key was added or its request last ended.
    TimePoint changed;
    /// The stored response, in the state `kAnswered`.
    KeyedOutcome outcome;
  };
  void EvictOldResponses();

  KeyTableSettings settings_;
  std::map<RequestKey, Entry> keys_;
  /// Keys with stored responses, oldest first.
  std::deque<RequestKey> keys_with_response_;
  /// Total size of the bodies of the stored responses.
  std::uint64_t response_bytes_ = 0;
  /// Claims of terms before this one may be lost.
  Epoch gap_term_;
  /// Until when new keys created before `gap_term_` are refused.
  TimePoint gap_end_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_KEY_TABLE_H_
