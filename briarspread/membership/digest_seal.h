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

/// Returns the HMAC-SHA256 of `text` with `key`, 32 bytes. Thread-safe.
std::string HmacSha256(std::string_view key, std::string_view text);

/// Refuses replayed digests. Keeps for each sender the latest incarnation, its
/// highest sequence and a window of the sequences below. Not thread-safe.
class ReplayGuard {
 public:
  /// Refuses digests of further senders once `max_senders` are known.
  explicit ReplayGuard(std::size_t max_senders) : max_senders_(max_senders) {}
  /// Returns whether the digest is new and records its sequence. A digest of an
  /// earlier incarnation or from below the window counts as replayed.
  bool Admit(const InstanceId& sender, Incarnation incarnation,
             std::uint64_t sequence);

 private:
  /// The digests seen from one sender.
  struct Seen {
    Incarnation incarnation;
    /// The highest sequence seen.
    std::uint64_t highest = 0;
    /// Bit i is set if the sequence `highest - i` was seen.
    std::uint64_t window = 0;
  };

  const std::size_t max_senders_;
  std::map<InstanceId, Seen> seen_;
};

/// Seals digests with the key that all instances share, and verifies those of
/// other instances. A digest replayed from before the start of this process may
/// be admitted once. This does no harm: records are merged by version, and only
/// an acknowledgement of a probe of this process proves that a member is alive.
/// Not thread-safe.
class DigestSeal {
 public:
  /// With an empty `key`, seals only protect the integrity of digests. Digests
  /// of at most `max_senders` senders are admitted.
  DigestSeal(std::string key, std::size_t max_senders);

  /// Returns the encoded digest with its seal, at most `kMaxDatagramBytes`
  /// bytes.
  std::string Seal(const Digest& digest) const;
  /// Returns the digest in `datagram`. Fails with `kUnauthenticated` if it is
  /// forged or replayed, and with `kInvalidArgument` if it cannot be decoded.
  Result<Digest> Open(std::string_view datagram);

 private:
  /// The shared key; must not be logged.
  const std::string key_;
  ReplayGuard replays_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_DIGEST_SEAL_H_
