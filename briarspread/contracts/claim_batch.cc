#include "briarspread/contracts/claim_batch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kOutcomeCount = 5;

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               "claim message: " + what};
}

Json ClaimsToJson(const std::vector<Claim>& claims) {
  Json json = Json::array();
  for (const Claim& claim : claims) {
    json.push_back({claim.key.value(), claim.fingerprint.value()});
  }
  return json;
}

/// Throws `Json::exception`, `std::length_error` or `std::invalid_argument` if
/// the input is malformed.
std::vector<Claim> ClaimsFromJson(const Json& json) {
  const auto& items = json.get_ref<const Json::array_t&>();
  if (items.size() > kMaxBatchClaims) throw std::length_error("claims");
  std::vector<Claim> claims;
  claims.reserve(items.size());
  for (const Json& it : items) {
    auto key = it.at(0).get<std::string>();
    if (!IsValidKey(key)) throw std::invalid_argument("key");
    claims.push_back({RequestKey(std::move(key)),
                      Fingerprint(it.at(1).get<std::uint64_t>())});
  }
  return claims;
}

/// Parses the text, calls `read` with it and converts exceptions to errors.
template <typename T, typename Reader>
Result<T> Parse(std::string_view text, Reader read) {
  if (text.size() > kMaxStoreValueBytes) return Malformed("too large");
  const Json json = Json::parse(text, nullptr, false);
  try {
    return read(json);
  } catch (const std::exception& e) {
    return Malformed(e.what());
  }
}

}  // namespace

bool IsValidKey(std::string_view key) {
  const bool is_printable = std::all_of(
      key.begin(), key.end(), [](char c) { return c >= ' ' && c <= '~'; });
  return !key.empty() && key.size() <= kMaxKeyBytes && is_printable;
}

std::string ToJson(const ClaimSegment& segment) {
  Json json{{"operation", segment.operation.value()},
            {"seal", segment.is_seal},
            {"complete", segment.is_complete},
            {"gap", segment.has_gap},
            {"claims", ClaimsToJson(segment.claims)}};
  if (segment.standby.has_value()) {
    json["standby"] = segment.standby->instance.value();
    json["incarnation"] = segment.standby->incarnation.value();
  }
  return json.dump();
}

std::string ToJson(const ClaimBatch& batch) {
  const Json json{{"home", batch.home.value()},
                  {"term", batch.term.value()},
                  {"sequence", batch.sequence},
                  {"incarnation", batch.standby_incarnation.value()},
                  {"reset", batch.is_reset},
                  {"granted", batch.granted_ack},
                  {"claims", ClaimsToJson(batch.claims)}};
  return json.dump();
}

std::string ToJson(const ClaimBatchReply& reply) {
  const Json json{{"outcome", static_cast<int>(reply.outcome)},
                  {"sequence", reply.sequence},
                  {"incarnation", reply.incarnation.value()},
                  {"ack", reply.ack}};
  return json.dump();
}

Result<ClaimSegment> ParseClaimSegment(std::string_view text) {
  return Parse<ClaimSegment>(text, [](const Json& json) {
    ClaimSegment segment;
    segment.operation = OperationId(json.at("operation").get<std::string>());
    segment.is_seal = json.at("seal").get<bool>();
    segment.is_complete = json.at("complete").get<bool>();
    segment.has_gap = json.at("gap").get<bool>();
    segment.claims = ClaimsFromJson(json.at("claims"));
    if (json.contains("standby")) {
      segment.standby =
          ProcessId{InstanceId(json.at("standby").get<std::string>()),
                    Incarnation(json.at("incarnation").get<std::uint64_t>())};
    }
    return segment;
  });
}

Result<ClaimBatch> ParseClaimBatch(std::string_view text) {
  return Parse<ClaimBatch>(text, [](const Json& json) {
    ClaimBatch batch;
    batch.home = HomeName(json.at("home").get<std::string>());
    batch.term = Epoch(json.at("term").get<std::uint64_t>());
    batch.sequence = json.at("sequence").get<std::uint64_t>();
    batch.standby_incarnation =
        Incarnation(json.at("incarnation").get<std::uint64_t>());
    batch.is_reset = json.at("reset").get<bool>();
    batch.granted_ack = json.at("granted").get<std::uint64_t>();
    batch.claims = ClaimsFromJson(json.at("claims"));
    return batch;
  });
}

Result<ClaimBatchReply> ParseClaimBatchReply(std::string_view text) {
  return Parse<ClaimBatchReply>(text, [](const Json& json) {
    ClaimBatchReply reply;
    const int outcome = json.at("outcome").get<int>();
    if (outcome < 0 || outcome >= kOutcomeCount) {
      throw std::out_of_range("outcome");
    }
    reply.outcome = static_cast<ClaimBatchOutcome>(outcome);
    reply.sequence = json.at("sequence").get<std::uint64_t>();
    reply.incarnation =
        Incarnation(json.at("incarnation").get<std::uint64_t>());
    reply.ack = json.at("ack").get<std::uint64_t>();
    return reply;
  });
}

}  // namespace briarspread
