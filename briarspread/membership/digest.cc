#include "briarspread/membership/digest.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// The version of the encoding; a receiver refuses other versions.
constexpr std::uint64_t kFormat = 1;
/// Maximum number of bytes by which array headers grow as entries are added.
constexpr std::size_t kHeaderSlack = 8;
constexpr std::size_t kMaxEntries = 64;
constexpr std::size_t kRecordFields = 9;
constexpr std::size_t kNoticeFields = 5;
constexpr std::size_t kDigestFields = 10;
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxCount = 0xffffffff;
constexpr std::uint64_t kMaxHoldSeconds = 7ULL * 24 * 3600;
constexpr std::uint64_t kLeavingFlag = 4;

void CheckFields(const Json& json, std::size_t fields) {
  if (!json.is_array() || json.size() != fields) {
    throw std::invalid_argument("a digest part has the wrong shape");
  }
}

std::string ReadName(const Json& json) {
  const auto& text = json.get_ref<const std::string&>();
  if (text.size() > kMaxNameBytes) {
    throw std::invalid_argument("a name in a digest is too long");
  }
  return text;
}

std::uint64_t ReadNumber(const Json& json, std::uint64_t limit) {
  if (!json.is_number_unsigned()) {
    throw std::invalid_argument(
        "a field of a digest is not an unsigned number");
  }
  const auto n = json.get<std::uint64_t>();
  if (n > limit) {
    throw std::invalid_argument("a number in a digest is too large");
  }
  return n;
}

std::uint64_t ReadNumber(const Json& json) { return ReadNumber(json, ~0ULL); }

template <typename T>
std::vector<T> ReadEntries(const Json& json) {
  if (!json.is_array() || json.size() > kMaxEntries) {
    throw std::invalid_argument("a list in a digest is too long");
  }
  std::vector<T> entries;
  entries.reserve(json.size());
  for (const Json& item : json) entries.push_back(item.get<T>());
  return entries;
}

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace

void to_json(Json& json, const MemberRecord& record) {
  const auto flags = static_cast<std::uint64_t>(record.liveness) +
                     (record.leaving ? kLeavingFlag : 0);
  json = Json::array(
      {record.id.value(), record.endpoint.host, record.endpoint.port,
       record.locality.region.value(), record.locality.zone.value(),
       record.version.incarnation.value(), record.version.refutations, flags,
       record.rules_revision.value()});
}

void from_json(const Json& json, MemberRecord& record) {
  CheckFields(json, kRecordFields);
  record.id = InstanceId(ReadName(json[0]));
  if (record.id.value().empty()) {
    throw std::invalid_argument("a member in a digest has no name");
  }
  record.endpoint.host = ReadName(json[1]);
  record.endpoint.port =
      static_cast<std::uint16_t>(ReadNumber(json[2], kMaxPort));
  record.locality.region = RegionId(ReadName(json[3]));
  record.locality.zone = ZoneId(ReadName(json[4]));
  record.version.incarnation = Incarnation(ReadNumber(json[5]));
  record.version.refutations =
      static_cast<std::uint32_t>(ReadNumber(json[6], kMaxCount - 1));
  const std::uint64_t flags = ReadNumber(json[7], 2 * kLeavingFlag - 2);
  record.leaving = flags >= kLeavingFlag;
  record.liveness = static_cast<Liveness>(flags % kLeavingFlag);
  record.rules_revision = Revision(ReadNumber(json[8]));
  if (record.liveness > Liveness::kDead) {
    throw std::invalid_argument("a member in a digest has an unknown state");
  }
}

void to_json(Json& json, const Notice& notice) {
  json = Json::array({notice.key.fingerprint.value(),
                      static_cast<std::uint64_t>(notice.key.kind),
                      notice.key.origin.value(), notice.count,
                      static_cast<std::uint64_t>(notice.remaining.count())});
}

void from_json(const Json& json, Notice& notice) {
  CheckFields(json, kNoticeFields);
  notice.key.fingerprint = Fingerprint(ReadNumber(json[0]));
  notice.key.kind = static_cast<NoticeKind>(ReadNumber(json[1], 1));
  notice.key.origin = InstanceId(ReadName(json[2]));
  notice.count = static_cast<std::uint32_t>(ReadNumber(json[3], kMaxCount));
  notice.remaining = seconds(ReadNumber(json[4], kMaxHoldSeconds));
}

void to_json(Json& json, const Digest& digest) {
  json = Json::array({kFormat, static_cast<std::uint64_t>(digest.kind),
                      digest.sender, digest.sequence, digest.acknowledges,
                      digest.epoch.value(), digest.load.in_flight,
                      digest.load.queued, digest.members, digest.notices});
}

void from_json(const Json& json, Digest& digest) {
  CheckFields(json, kDigestFields);
  if (ReadNumber(json[0]) != kFormat) {
    throw std::invalid_argument("the format of the digest is unknown");
  }
  digest.kind = static_cast<DigestKind>(
      ReadNumber(json[1], static_cast<std::uint64_t>(DigestKind::kAck)));
  digest.sender = json[2].get<MemberRecord>();
  digest.sequence = ReadNumber(json[3]);
  digest.acknowledges = ReadNumber(json[4]);
  digest.epoch = Epoch(ReadNumber(json[5]));
  digest.load.in_flight =
      static_cast<std::uint32_t>(ReadNumber(json[6], kMaxCount));
  digest.load.queued =
      static_cast<std::uint32_t>(ReadNumber(json[7], kMaxCount));
  digest.members = ReadEntries<MemberRecord>(json[8]);
  digest.notices = ReadEntries<Notice>(json[9]);
}

std::string EncodeDigest(const Digest& digest) { return ToBytes(Json(digest)); }

Result<Digest> DecodeDigest(std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 "the digest is longer than a datagram"};
  }
  // nlohmann::json throws on some inputs even if exceptions are disabled.
  try {
    return Json::from_cbor(bytes.begin(), bytes.end()).get<Digest>();
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, e.what()};
  } catch (const std::invalid_argument& e) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, e.what()};
  }
}

DigestBuilder::DigestBuilder(Digest digest)
    : digest_(std::move(digest)),
      bytes_(EncodeDigest(digest_).size() + kHeaderSlack) {}

bool DigestBuilder::Add(const MemberRecord& record) {
  if (digest_.members.size() >= kMaxEntries) return false;
  if (!ReserveBytes(ToBytes(Json(record)).size())) return false;
  digest_.members.push_back(record);
  return true;
}

bool DigestBuilder::Add(const Notice& notice) {
  if (digest_.notices.size() >= kMaxEntries) return false;
  if (!ReserveBytes(ToBytes(Json(notice)).size())) return false;
  digest_.notices.push_back(notice);
  return true;
}

/// Adds `bytes` to the encoded size unless the digest would become too large.
bool DigestBuilder::ReserveBytes(std::size_t bytes) {
  if (bytes_ + bytes > kMaxDigestBytes) return false;
  bytes_ += bytes;
  return true;
}

}  // namespace briarspread
