#include "briarspread/rollout/cursor.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <optional>

namespace briarspread {
namespace {

/// Prefix of the checksum's key, which makes it different from the keys of
/// other uses of the shared key.
constexpr std::string_view kKeyPrefix = "briarspread cursor 1:";
/// Layout version in the first byte of the encoded cursor.
constexpr char kLayout = 1;
constexpr std::size_t kChecksumBytes = 16;
constexpr std::size_t kBitsPerByte = 8;
/// Base64 encodes three bytes as four characters.
constexpr std::size_t kBase64Bytes = 3;
constexpr std::size_t kBase64Characters = 4;
constexpr std::size_t kMaxTextBytes = 2048;

Error Refused(const std::string& why) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               "the cursor " + why + "; ask with a cursor as it was given"};
}

/// Appends the `n` low bytes of `value` in little-endian order.
void PutNumber(std::string& bytes, std::uint64_t value, std::size_t n) {
  for (std::size_t i = 0; i < n; ++i) {
    bytes.push_back(static_cast<char>(value >> (i * kBitsPerByte)));
  }
}

std::string PackBits(const std::vector<bool>& bits) {
  std::string bytes((bits.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (std::size_t i = 0; i < bits.size(); ++i) {
    if (!bits[i]) continue;
    const auto bit = static_cast<unsigned char>(1U << (i % kBitsPerByte));
    char& byte = bytes[i / kBitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | bit);
  }
  return bytes;
}

/// Reads fields sequentially from bytes whose checksum has been verified.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t Number(std::size_t n) {
    const std::string_view bytes = Bytes(n);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      const auto byte = static_cast<unsigned char>(bytes[i]);
      value |= std::uint64_t{byte} << (i * kBitsPerByte);
    }
    return value;
  }
  std::string_view Bytes(std::size_t n) {
    is_short_ = is_short_ || n > rest_.size();
    const std::string_view bytes = rest_.substr(0, n);
    rest_.remove_prefix(std::min(n, rest_.size()));
    return bytes;
  }
  /// Whether the fields read so far have exactly the length of the bytes.
  bool IsExact() const { return !is_short_ && rest_.empty(); }

 private:
  std::string_view rest_;
  bool is_short_ = false;
};

std::string EncodeBase64Url(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kBase64Bytes - 1) / kBase64Bytes;
  // EVP_EncodeBlock appends a zero byte to its output.
  std::string text(groups * kBase64Characters + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  while (!text.empty() && text.back() == '=') text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> DecodeBase64Url(std::string_view url_text) {
  std::string text(url_text);
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  const std::size_t left = text.size() % kBase64Characters;
  const std::size_t padding = left == 0 ? 0 : kBase64Characters - left;
  text.append(padding, '=');
  std::string bytes(text.size() / kBase64Characters * kBase64Bytes, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  // The decoder ignores white space at both ends, so it may return fewer bytes.
  if (padding >= kBase64Bytes || n < static_cast<int>(padding)) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  // Different values of the unused bits in the last character would otherwise
  // make several texts decode to the same cursor.
  if (EncodeBase64Url(bytes) != url_text) return std::nullopt;
  return bytes;
}

}  // namespace

CursorCodec::CursorCodec(std::string_view key)
    : key_(std::string(kKeyPrefix).append(key)) {}

std::string CursorCodec::Checksum(std::string_view bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  std::size_t n = 0;
  const unsigned char* done = EVP_Q_mac(
      nullptr, "HMAC", nullptr, "SHA256", nullptr, key_.data(), key_.size(),
      reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
      digest.data(), digest.size(), &n);
  assert(done != nullptr && n >= kChecksumBytes);
  static_cast<void>(done);
  return {reinterpret_cast<const char*>(digest.data()), kChecksumBytes};
}

std::string CursorCodec::Encode(const Cursor& cursor) const {
  const std::string& trainer = cursor.trainer.value();
  assert(!trainer.empty() && trainer.size() <= kMaxTrainerNameBytes);
  assert(cursor.delivered.size() <= kMaxGroupsPerStep);
  std::string bytes(1, kLayout);
  PutNumber(bytes, trainer.size(), sizeof(std::uint8_t));
  bytes += trainer;
  PutNumber(bytes, cursor.step.value(), sizeof(std::uint64_t));
  PutNumber(bytes, cursor.batch, sizeof(std::uint32_t));
  PutNumber(bytes, cursor.step_digest, sizeof(std::uint64_t));
  PutNumber(bytes, cursor.delivered.size(), sizeof(std::uint16_t));
  bytes += PackBits(cursor.delivered);
  bytes += Checksum(bytes);
  return EncodeBase64Url(bytes);
}

Result<Cursor> CursorCodec::Decode(std::string_view text) const {
  if (text.empty()) return Refused("is empty");
  if (text.size() > kMaxTextBytes) return Refused("is too long");
  const auto decoded = DecodeBase64Url(text);
  if (!decoded.has_value()) return Refused("is not base64url");
  if (decoded->size() <= kChecksumBytes) return Refused("was cut");
  const std::string_view all = *decoded;
  const std::string_view body = all.substr(0, all.size() - kChecksumBytes);
  const std::string expected = Checksum(body);
  if (CRYPTO_memcmp(expected.data(), all.data() + body.size(),
                    kChecksumBytes) != 0) {
    return Refused("was cut or changed: its checksum does not match");
  }
  FieldReader fields(body);
  if (fields.Number(1) != kLayout) return Refused("has an unknown layout");
  Cursor cursor;
  cursor.trainer =
      TrainerId(std::string(fields.Bytes(fields.Number(sizeof(std::uint8_t)))));
  cursor.step = StepNumber(fields.Number(sizeof(std::uint64_t)));
  cursor.batch =
      static_cast<std::uint32_t>(fields.Number(sizeof(std::uint32_t)));
  cursor.step_digest = fields.Number(sizeof(std::uint64_t));
  const std::size_t groups = fields.Number(sizeof(std::uint16_t));
  const std::string_view bits =
      fields.Bytes((groups + kBitsPerByte - 1) / kBitsPerByte);
  if (!fields.IsExact()) return Refused("has fields of the wrong length");
  cursor.delivered.resize(groups);
  for (std::size_t i = 0; i < groups; ++i) {
    const auto byte = static_cast<unsigned char>(bits[i / kBitsPerByte]);
    cursor.delivered[i] = ((byte >> (i % kBitsPerByte)) & 1U) != 0;
  }
  return cursor;
}

}  // namespace briarspread
