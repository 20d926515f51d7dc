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

/// Maximum size of a digest with its seal, in bytes. A datagram of this size
/// passes networks with packets of up to 1,280 bytes unfragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Maximum size of a digest without its seal, in bytes.
inline constexpr std::size_t kMaxDigestBytes = 1160;
/// Maximum length of a name or address in a digest, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;

/// The kind of a digest, which determines whether the receiver answers.
enum class DigestKind {
  /// Spreads information; needs no answer.
  kGossip,
  /// Requests an acknowledgement.
  kProbe,
  /// Acknowledges a probe; needs no answer.
  kAck,
};

/// The current load of the sender of a digest.
struct LoadHint {
  /// Number of requests in flight.
  std::uint32_t in_flight = 0;
  /// Number of requests that wait for an upstream.
  std::uint32_t queued = 0;

  friend bool operator==(const LoadHint&, const LoadHint&) = default;
};

/// The message that instances exchange over UDP.
struct Digest {
  /// The kind of the digest.
  DigestKind kind = DigestKind::kGossip;
  /// The sender's record of itself.
  MemberRecord sender;
  /// Number of the digest in the sender's incarnation; unique within it.
  std::uint64_t sequence = 0;
  /// The sequence of the acknowledged probe if `kind` is `kAck`.
  std::uint64_t acknowledges = 0;
  /// The sender's epoch of the home table.
  Epoch epoch;
  /// The sender's load.
  LoadHint load;
  /// The sender's records of some members.
  std::vector<MemberRecord> members;
  /// The sender's notices about some requests that crash upstreams.
  std::vector<Notice> notices;

  friend bool operator==(const Digest&, const Digest&) = default;
};

/// Convert to positional JSON arrays, which keep digests small.
void to_json(nlohmann::json& json, const MemberRecord& record);
void to_json(nlohmann::json& json, const Notice& notice);
void to_json(nlohmann::json& json, const Digest& digest);

/// Convert from JSON. Throw nlohmann::json::exception or std::invalid_argument
/// on invalid input.
void from_json(const nlohmann::json& json, MemberRecord& record);
void from_json(const nlohmann::json& json, Notice& notice);
void from_json(const nlohmann::json& json, Digest& digest);

/// Returns the digest encoded as CBOR. Thread-safe.
std::string EncodeDigest(const Digest& digest);

/// Decodes a digest from arbitrary bytes. Fails with `kInvalidArgument` if they
/// are no valid digest. Thread-safe.
Result<Digest> DecodeDigest(std::string_view bytes);

/// Adds entries to a digest up to a size of `kMaxDigestBytes`. Not thread-safe.
class DigestBuilder {
 public:
  /// Starts with `digest`. Precondition: names in it have at most
  /// `kMaxNameBytes` bytes.
  explicit DigestBuilder(Digest digest);
  /// Adds a record or notice if it fits. Returns whether it was added.
  bool Add(const MemberRecord& record);
  bool Add(const Notice& notice);
  /// Returns the digest with the entries added so far.
  const Digest& digest() const { return digest_; }

 private:
  bool ReserveBytes(std::size_t bytes);

  Digest digest_;
  /// Encoded size so far, in bytes.
  std::size_t bytes_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_DIGEST_H_
