#ifndef BRIARSPREAD_MEMBERSHIP_DIGEST_H_
#define BRIARSPREAD_MEMBERSHIP_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/membership/member.h"
#include "briarspread/membership/notice.h"

namespace briarspread {

/// The largest digest with its seal, in bytes. One datagram of this size
/// passes networks of 1,280-byte packets whole.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// The largest digest without its seal, in bytes.
inline constexpr std::size_t kMaxDigestBytes = 1160;
/// The longest name or address in a digest, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;

/// What a digest asks of its receiver.
enum class DigestKind {
  /// Nothing.
  kGossip,
  /// An acknowledgement.
  kProbe,
  /// Nothing; it acknowledges a probe.
  kAck,
};

/// How busy the sender is.
struct LoadHint {
  /// Requests in flight.
  std::uint32_t in_flight = 0;
  /// Requests that wait for an upstream.
  std::uint32_t queued = 0;

  friend bool operator==(const LoadHint&, const LoadHint&) = default;
};

/// The message that instances exchange over UDP.
struct Digest {
  /// What it asks.
  DigestKind kind = DigestKind::kGossip;
  /// The sender's own record.
  MemberRecord sender;
  /// The sender's count of digests in this incarnation; never repeats.
  std::uint64_t sequence = 0;
  /// The probe's sequence, where `kind` is `kAck`.
  std::uint64_t acknowledges = 0;
  /// The sender's epoch of the list of homes.
  Epoch epoch;
  /// The sender's load.
  LoadHint load;
  /// What the sender knows of some members.
  std::vector<MemberRecord> members;
  /// What the sender knows of requests that crash upstreams.
  std::vector<Notice> notices;

  friend bool operator==(const Digest&, const Digest&) = default;
};

/// As positional JSON arrays, which keep digests small.
void to_json(nlohmann::json& json, const MemberRecord& record);
void to_json(nlohmann::json& json, const Notice& notice);
void to_json(nlohmann::json& json, const Digest& digest);

/// Throw nlohmann::json::exception or std::invalid_argument on bad input.
void from_json(const nlohmann::json& json, MemberRecord& record);
void from_json(const nlohmann::json& json, Notice& notice);
void from_json(const nlohmann::json& json, Digest& digest);

/// The digest as CBOR. Thread-safe.
std::string EncodeDigest(const Digest& digest);

/// Reads a digest; any bytes that are none give an error. Thread-safe.
Result<Digest> DecodeDigest(std::string_view bytes);

/// Fills a digest up to `kMaxDigestBytes`. Not thread-safe.
class DigestBuilder {
 public:
  /// Starts with `digest`. Precondition: names in it keep `kMaxNameBytes`.
  explicit DigestBuilder(Digest digest);
  /// Adds a record or notice where it fits; returns whether it did.
  bool Add(const MemberRecord& record);
  bool Add(const Notice& notice);
  /// The digest as filled so far.
  const Digest& digest() const { return digest_; }

 private:
  bool Take(std::size_t bytes);

  Digest digest_;
  /// Encoded size so far, in bytes.
  std::size_t bytes_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_DIGEST_H_
