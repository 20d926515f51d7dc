#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "briarspread/contracts/suspect_table.h"
#include "briarspread/core/rendezvous.h"

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

/// How long before its end a request is assumed to have been sent to the
/// upstream if the report, of an earlier build, does not tell. Ends within this
/// time then count once.
constexpr milliseconds kUnknownTimeInFlight{10'000};

Json ReportToJson(const CrashReport& report) {
  milliseconds age{0};
  Json in_flight = Json::array();
  for (const InFlightRequest& it : report.in_flight) {
    age = std::max(age, it.broke_age);
    // Earlier builds read the first two entries only, and tell reports apart by
    // their reporter and number.
    in_flight.push_back({it.fingerprint.value(), false, it.sent_age.count(),
                         it.broke_age.count()});
  }
  return Json{{"instance", report.reporter.value()},
              {"incarnation", 0},
              {"number", StableHash(report.upstream.value())},
              {"upstream", report.upstream.value()},
              {"age", age.count()},
              {"in_flight", std::move(in_flight)}};
}

InFlightRequest InFlightFromJson(const Json& json, milliseconds report_age) {
  InFlightRequest request;
  request.fingerprint = Fingerprint(json.at(0).get<std::uint64_t>());
  const bool has_times = json.size() >= 4;
  request.sent_age =
      has_times ? AgeFromJson(json.at(2)) : report_age + kUnknownTimeInFlight;
  request.broke_age = has_times ? AgeFromJson(json.at(3)) : report_age;
  return request;
}

CrashReport ReportFromJson(const Json& json) {
  CrashReport report;
  report.reporter = InstanceId(json.at("instance").get<std::string>());
  report.upstream = UpstreamId(json.at("upstream").get<std::string>());
  const milliseconds age = AgeFromJson(json.at("age"));
  for (const Json& it : ListOf(json.at("in_flight"), kMaxInFlight)) {
    report.in_flight.push_back(InFlightFromJson(it, age));
  }
  return report;
}

TrialRecord TrialFromJson(const Json& json) {
  return {Fingerprint(json.at(0).get<std::uint64_t>()),
          json.at(1).get<std::uint32_t>(), AgeFromJson(json.at(2))};
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
  Json trials = Json::array();
  for (const TrialRecord& it : digest.trials) {
    trials.push_back({it.fingerprint.value(), it.count, it.age.count()});
  }
  const Json json{{"reports", std::move(reports)},
                  {"clearances", std::move(clearances)},
                  {"trials", std::move(trials)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
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
    if (json.contains("trials")) {
      for (const Json& it : ListOf(json.at("trials"), kMaxDigestItems)) {
        digest.trials.push_back(TrialFromJson(it));
      }
    }
  } catch (const std::exception& e) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 std::string("suspect digest: ") + e.what()};
  }
  return digest;
}

SuspectDigest Aged(SuspectDigest digest, milliseconds time) {
  for (CrashReport& report : digest.reports) {
    for (InFlightRequest& it : report.in_flight) {
      it.sent_age += time;
      it.broke_age += time;
    }
  }
  for (Clearance& it : digest.clearances) it.age += time;
  for (TrialRecord& it : digest.trials) it.age += time;
  return digest;
}

}  // namespace briarspread
