#ifndef BRIARSPREAD_MEMBERSHIP_DIGEST_SEAL_H_
#define BRIARSPREAD_MEMBERSHIP_DIGEST_SEAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/membership/digest.h"

namespace briarspread {

/// The HMAC-SHA256 of `text` under `key`, 32 bytes. Thread-safe.
std::string HmacSha256(std::string_view key, std::string_view text);

/// Refuses digests seen before: per sender it keeps the newest incarnation, the
/// highest sequence and a window of those below it. Not thread-safe.
class ReplayGuard {
 public:
  /// Keeps at most `max_senders` senders.
  explicit ReplayGuard(std::size_t max_senders) : max_senders_(max_senders) {}
  /// Whether the digest is new; if so it is remembered.
  bool Admit(const InstanceId& sender, Incarnation incarnation,
             std::uint64_t sequence);

 private:
  /// What was seen of one sender.
  struct Seen {
    Incarnation incarnation;
    /// The highest sequence.
    std::uint64_t highest = 0;
    /// Bit i is set where `highest - i` was seen.
    std::uint64_t window = 0;
  };

  const std::size_t max_senders_;
  std::map<InstanceId, Seen> seen_;
};

/// Seals digests with the key that all instances share, and opens those of
/// others. A digest from before this process started may be admitted once: what
/// it says is merged by version, and only an answer to a probe of this process
/// counts as a sign of life, so it changes nothing. Not thread-safe.
class DigestSeal {
 public:
  /// An empty key checks integrity only.
  DigestSeal(std::string key, std::size_t max_senders);

  /// The digest's bytes with their seal; at most `kMaxDatagramBytes`.
  std::string Seal(const Digest& digest) const;
  /// The digest in `datagram`. The error is `kUnauthenticated` for a forged or
  /// repeated one, and `kInvalidArgument` for one that cannot be read.
  Result<Digest> Open(std::string_view datagram);

 private:
  /// Never logged.
  const std::string key_;
  ReplayGuard replays_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_DIGEST_SEAL_H_
