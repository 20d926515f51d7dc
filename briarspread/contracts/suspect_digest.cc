#include <nlohmann/json.hpp>
#include <stdexcept>

#include "briarspread/contracts/suspect_table.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDigestItems = 4096;
constexpr std::size_t kMaxInFlight = 4096;

const Json::array_t& ListOf(const Json& json, std::size_t limit) {
  const auto& items = json.get_ref<const Json::array_t&>();
  if (items.size() > limit) throw std::length_error("list too long");
  return items;
}

milliseconds AgeFromJson(const Json& json) {
  // Ages up to this limit can't overflow when converted to clock times.
  constexpr std::int64_t kMaxAge = 1'000'000'000'000;
  const auto age = json.get<std::int64_t>();
  if (age < 0 || age > kMaxAge) throw std::out_of_range("age");
  return milliseconds(age);
}

Json ReportToJson(const CrashReport& report) {
  Json in_flight = Json::array();
  for (const InFlightRequest& it : report.in_flight) {
    in_flight.push_back({it.fingerprint.value(), it.is_trial});
  }
  return Json{{"instance", report.id.reporter.instance.value()},
              {"incarnation", report.id.reporter.incarnation.value()},
              {"number", report.id.number},
              {"upstream", report.upstream.value()},
              {"age", report.age.count()},
              {"in_flight", std::move(in_flight)}};
}

CrashReport ReportFromJson(const Json& json) {
  CrashReport report;
  report.id.reporter.instance =
      InstanceId(json.at("instance").get<std::string>());
  report.id.reporter.incarnation =
      Incarnation(json.at("incarnation").get<std::uint64_t>());
  report.id.number = json.at("number").get<std::uint64_t>();
  report.upstream = UpstreamId(json.at("upstream").get<std::string>());
  report.age = AgeFromJson(json.at("age"));
  for (const Json& it : ListOf(json.at("in_flight"), kMaxInFlight)) {
    report.in_flight.push_back(
        {Fingerprint(it.at(0).get<std::uint64_t>()), it.at(1).get<bool>()});
  }
  return report;
}

}  // namespace

std::string ToJson(const SuspectDigest& digest) {
  Json reports = Json::array();
  for (const CrashReport& it : digest.reports) {
    reports.push_back(ReportToJson(it));
  }
  Json clearances = Json::array();
  for (const Clearance& it : digest.clearances) {
    clearances.push_back({it.fingerprint.value(), it.age.count()});
  }
  const Json json{{"reports", std::move(reports)},
                  {"clearances", std::move(clearances)}};
  return json.dump();
}

Result<SuspectDigest> ParseSuspectDigest(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  SuspectDigest digest;
  try {
    for (const Json& it : ListOf(json.at("reports"), kMaxDigestItems)) {
      digest.reports.push_back(ReportFromJson(it));
    }
    for (const Json& it : ListOf(json.at("clearances"), kMaxDigestItems)) {
      digest.clearances.push_back(
          {Fingerprint(it.at(0).get<std::uint64_t>()), AgeFromJson(it.at(1))});
    }
  } catch (const std::exception& e) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 std::string("suspect digest: ") + e.what()};
  }
  return digest;
}

}  // namespace briarspread
