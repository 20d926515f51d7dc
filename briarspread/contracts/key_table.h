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

/// How a keyed request ended, and the answer to give to each re-send.
struct KeyedOutcome {
  /// Whether it ran.
  Verdict verdict = Verdict::kMayHaveRun;
  /// The answer, where `kAnswered`.
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// Bounds of a key table.
struct KeyTableSettings {
  /// How long callers may send a key again.
  seconds resend_window{600};
  /// The most keys held; a new key beyond is refused.
  std::size_t max_keys = 200'000;
  /// The most bytes of finished answers; beyond, the oldest are dropped and
  /// their keys end `kMayHaveRun`.
  ByteCount max_answer_bytes{64'000'000};
};

/// What to do with a keyed request.
enum class KeyStep {
  /// Commit a claim, then call `OnCommitted` or `OnRefused`.
  kClaim,
  /// Run it, then call `Finish`.
  kRun,
  /// The same request is being claimed or run: wait for its end.
  kWait,
  /// It ended; `AnswerOf` has the answer.
  kAnswered,
  /// It may have run, and must not run again.
  kMayHaveRun,
  /// The key was used with another body.
  kMismatch,
  /// The table is full.
  kFull,
};

/// What a home knows of each key. Not thread-safe.
class KeyTable {
 public:
  /// A table without keys of earlier terms.
  explicit KeyTable(KeyTableSettings settings) : settings_(settings) {}

  /// Adds claims of earlier terms, which must not run again.
  void Inherit(const std::vector<Claim>& claims, TimePoint now);
  /// As `Inherit`, but leaves keys alone that are known already.
  void InheritUnknown(const std::vector<Claim>& claims, TimePoint now);
  /// States that claims of terms before `term` may be missing, for a re-send
  /// window from `now`.
  void SetGap(Epoch term, TimePoint now);
  /// Until when claims may be missing.
  TimePoint gap_until() const { return gap_until_; }

  /// Decides on a request. `created_in` is the epoch that the caller knew as it
  /// made the key; zero for unknown. After `kClaim` the key is being claimed,
  /// and after `kRun` it is running.
  KeyStep Begin(const Claim& claim, Epoch created_in, TimePoint now);

  /// The claim is committed; its request is now running.
  /// Precondition: `Begin` gave `kClaim`.
  void OnCommitted(const RequestKey& key);
  /// The claim is not committed; its request must not run.
  /// Precondition: `Begin` gave `kClaim`.
  void OnRefused(const RequestKey& key);
  /// The request ended. `kNotRun` lets a re-send run. Changes nothing for a key
  /// that is not running here, as after the home was lost and taken back.
  void Finish(const RequestKey& key, KeyedOutcome outcome, TimePoint now);

  /// The finished answer, or null.
  const KeyedOutcome* AnswerOf(const RequestKey& key) const;

  /// Forgets keys whose re-send window is over.
  void Expire(TimePoint now);

  /// All claims of the window that are committed.
  std::vector<Claim> CommittedClaims() const;
  std::size_t size() const { return keys_.size(); }

  /// The state as text, for logs and for telling states apart.
  std::string DebugString() const;

 private:
  enum class State { kClaiming, kRunning, kReleased, kAnswered, kMayHaveRun };
  struct Entry {
    /// The body's hash.
    Fingerprint fingerprint;
    State state = State::kClaiming;
    /// When the key last changed state.
    TimePoint changed;
    /// How it ended.
    KeyedOutcome outcome;
  };
  void DropOldAnswers();

  /// Bounds.
  KeyTableSettings settings_;
  /// The keys.
  std::map<RequestKey, Entry> keys_;
  /// Keys with answers, oldest first.
  std::deque<RequestKey> answered_;
  /// Bytes of the answers held.
  std::uint64_t answer_bytes_ = 0;
  /// The term that began with a gap, and until when it matters.
  Epoch gap_term_;
  TimePoint gap_until_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_KEY_TABLE_H_
