#include "briarspread/membership/digest_seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cassert>
#include <utility>

namespace briarspread {
namespace {

constexpr std::size_t kSealBytes = 32;
constexpr std::uint64_t kWindowBits = 64;
static_assert(kMaxDigestBytes + kSealBytes <= kMaxDatagramBytes);

Error Refusal(const char* message) {
  return Error{ErrorCode::kUnauthenticated, Verdict::kNotRun, message};
}

}  // namespace

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::string seal(kSealBytes, '\0');
  std::size_t size = 0;
  const unsigned char* done = EVP_Q_mac(
      nullptr, "HMAC", nullptr, "SHA256", nullptr, key.data(), key.size(),
      reinterpret_cast<const unsigned char*>(text.data()), text.size(),
      reinterpret_cast<unsigned char*>(seal.data()), seal.size(), &size);
  assert(done != nullptr && size == kSealBytes);
  (void)done;
  return seal;
}

bool ReplayGuard::Admit(const InstanceId& sender, Incarnation incarnation,
                        std::uint64_t sequence) {
  auto it = seen_.find(sender);
  if (it == seen_.end()) {
    if (seen_.size() >= max_senders_) return false;
    it = seen_.emplace(sender, Seen{incarnation, sequence, 1}).first;
    return true;
  }
  Seen& seen = it->second;
  if (incarnation < seen.incarnation) return false;
  if (incarnation > seen.incarnation) {
    seen = Seen{incarnation, sequence, 1};
    return true;
  }
  if (sequence > seen.highest) {
    const std::uint64_t step = sequence - seen.highest;
    seen.window = step < kWindowBits ? (seen.window << step) | 1 : 1;
    seen.highest = sequence;
    return true;
  }
  const std::uint64_t age = seen.highest - sequence;
  if (age >= kWindowBits) return false;
  const std::uint64_t bit = 1ULL << age;
  if ((seen.window & bit) != 0) return false;
  seen.window |= bit;
  return true;
}

DigestSeal::DigestSeal(std::string key, std::size_t max_senders)
    : key_(std::move(key)), replays_(max_senders) {}

std::string DigestSeal::Seal(const Digest& digest) const {
  std::string bytes = EncodeDigest(digest);
  bytes += HmacSha256(key_, bytes);
  assert(bytes.size() <= kMaxDatagramBytes);
  return bytes;
}

Result<Digest> DigestSeal::Open(std::string_view datagram) {
  if (datagram.size() <= kSealBytes || datagram.size() > kMaxDatagramBytes) {
    return Refusal("the datagram's length is not that of a digest");
  }
  const std::string_view text =
      datagram.substr(0, datagram.size() - kSealBytes);
  const std::string_view seal = datagram.substr(text.size());
  const std::string expected = HmacSha256(key_, text);
  if (CRYPTO_memcmp(expected.data(), seal.data(), kSealBytes) != 0) {
    return Refusal("the seal of the digest is invalid");
  }
  Result<Digest> digest = DecodeDigest(text);
  if (!IsOk(digest)) return digest;
  const Digest& read = ValueOf(digest);
  if (!replays_.Admit(read.sender.id, read.sender.version.incarnation,
                      read.sequence)) {
    return Refusal("the digest is replayed or of an earlier incarnation");
  }
  return digest;
}

}  // namespace briarspread
