#include "briarspread/duties/usage_digest.h"

#include <nlohmann/json.hpp>

namespace briarspread::duties {
namespace {

using Json = nlohmann::json;
using Microseconds = std::chrono::microseconds;

/// Maximum size of a digest from a peer.
constexpr std::size_t kMaxDigestBytes = std::size_t{4} * 1024 * 1024;

std::int64_t MicrosecondsOf(WallTime time) {
  return std::chrono::floor<Microseconds>(time.time_since_epoch()).count();
}

WallTime TimeOf(const Json& microseconds) {
  return WallTime(Microseconds(microseconds.get<std::int64_t>()));
}

SourceCounts ParseCounts(const Json& json) {
  SourceCounts counts;
  counts.source = {InstanceId(json.at(0).get<std::string>()),
                   Incarnation(json.at(1).get<std::uint64_t>())};
  counts.window = UsageWindow(json.at(2).get<std::uint64_t>());
  for (const auto& [account, count] : json.at(3).items()) {
    counts.counts.emplace_back(accounts::AccountId(account),
                               count.get<std::uint32_t>());
  }
  return counts;
}

}  // namespace

std::string Encode(const UsageDigest& digest) {
  Json json = {{"from", digest.from.value()},
               {"own", MicrosecondsOf(digest.clock.own)},
               {"median", MicrosecondsOf(digest.clock.estimate)},
               {"clocks", digest.clock.clock_count},
               {"first", digest.first_window.value()},
               {"open", digest.open_window.value()}};
  Json& list = json["counts"] = Json::array();
  for (const SourceCounts& counts : digest.counts) {
    Json by_account = Json::object();
    for (const auto& [account, count] : counts.counts) {
      by_account[account.value()] = count;
    }
    list.push_back({counts.source.instance.value(),
                    counts.source.incarnation.value(), counts.window.value(),
                    std::move(by_account)});
  }
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<UsageDigest> ParseUsageDigest(const std::string& bytes) {
  if (bytes.size() > kMaxDigestBytes) return std::nullopt;
  const Json json = Json::from_cbor(bytes, true, false);
  try {
    UsageDigest digest;
    digest.from = InstanceId(json.at("from").get<std::string>());
    digest.clock = {TimeOf(json.at("own")), TimeOf(json.at("median")),
                    json.at("clocks").get<std::uint32_t>()};
    digest.first_window = UsageWindow(json.at("first").get<std::uint64_t>());
    digest.open_window = UsageWindow(json.at("open").get<std::uint64_t>());
    for (const Json& counts : json.at("counts")) {
      digest.counts.push_back(ParseCounts(counts));
    }
    return digest;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace briarspread::duties
