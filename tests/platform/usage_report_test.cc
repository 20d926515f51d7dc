// Tests of usage reports at a running instance, with a stand-in of the control
// API.
#include <catch2/catch.hpp>

#include "platform/control_api_client.h"
#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

/// Records the reports that it gets, and refuses the first `refusals` of them.
class ControlApiStandIn final : public proxy::RequestHandler {
 public:
  explicit ControlApiStandIn(asio::io_context& loop) : listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }
  Endpoint endpoint() const { return {"127.0.0.1", listener_.port()}; }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    heads.push_back(request.head);
    reports.push_back(Json::parse(request.body));
    const bool is_refused = reports.size() <= refusals;
    responder->Send(proxy::MakeResponse(is_refused ? 503 : 200, "{}"));
  }
  /// Returns the sum of an account's counts over all windows.
  std::uint64_t CountOf(const std::string& account) const {
    std::map<std::uint64_t, std::uint64_t> by_window;
    for (const Json& report : reports) {
      by_window[report.at("WindowId")] =
          report.at("Counts").value(account, std::uint64_t{0});
    }
    std::uint64_t sum = 0;
    for (const auto& [window, count] : by_window) sum += count;
    return sum;
  }

  std::size_t refusals = 0;
  std::vector<proxy::RequestHead> heads;
  std::vector<Json> reports;

 private:
  proxy::HttpListener listener_;
};

std::string MakeAccounts() {
  Json json = Json::parse(MakeConfiguration(5));
  json["Tenants"] = {{{"Name", "a"}, {"ApiKeys", {"key-a"}}},
                     {{"Name", "b"}, {"ApiKeys", {"key-b"}}}};
  return json.dump();
}

// Guards against requests that are not counted, counted twice when attempts or
// reports are repeated, or counted for another account.
TEST_CASE("an instance reports the callers' requests of each account") {
  EdgeFixture fixture;
  ControlApiStandIn api(fixture.loop);
  api.refusals = 1;
  fixture.store.memory().Write("op/config", MakeAccounts());
  PlatformSettings settings = fixture.Settings("one");
  settings.has_accounts = true;
  settings.control_api = api.endpoint();
  settings.reports_usage = true;
  settings.report_window = milliseconds(500);
  settings.usage_late = milliseconds(2500);
  settings.order_lease = milliseconds(0);
  ReadyInstance instance(fixture, settings);
  int id = 0;
  const auto call = [&](const std::string& key, const std::string& target) {
    return fixture
        .Call(*settings.frontend, "POST", target, "", std::to_string(++id),
              {{"Api-Key", key}})
        .head.status;
  };
  for (int i = 0; i < 3; ++i) REQUIRE(call("key-a", "/plain/x") == 200);
  REQUIRE(call("key-b", "/plain/x") == 200);
  REQUIRE(call("key-b", "/stream/x") == 200);
  REQUIRE(call("unknown", "/plain/x") == 401);
  // One request whose attempts all reach the replica and fail.
  fixture.replica.aborts_responses = true;
  REQUIRE(call("key-a", "/plain/x") >= 500);
  fixture.replica.aborts_responses = false;
  fixture.Await([&] { return api.CountOf("a") >= 4 && api.CountOf("b") >= 2; });
  const std::size_t n = api.reports.size();
  fixture.Await([&] { return api.reports.size() >= n + 3; });
  REQUIRE(api.CountOf("a") == 4);
  REQUIRE(api.CountOf("b") == 2);
  REQUIRE(*api.heads[0].headers.Find("X-Duty-Holder") == "one");
  REQUIRE(api.heads[0].headers.FindNumber("X-Fencing-Token").value_or(0) > 0);
  // The refused report was sent again, with the same counts.
  REQUIRE(api.reports[0] == api.reports[1]);
  // One report for each window, without a gap.
  for (std::size_t i = 2; i < api.reports.size(); ++i) {
    const std::uint64_t last = api.reports[i - 1].at("WindowId");
    REQUIRE(api.reports[i].at("WindowId") == last + 1);
  }
  REQUIRE(instance.node.FormatMetrics().find(
              "briarspread_usage_reports_failed_total 1") != std::string::npos);
}

// Guards against a deployment without a control API that pays for the duty.
TEST_CASE("without the settings of a control API nothing is reported") {
  EdgeFixture fixture;
  fixture.store.memory().Write("op/config", MakeAccounts());
  ReadyInstance instance(fixture, fixture.Settings("one"));
  REQUIRE(instance.node.FormatMetrics().find("usage") == std::string::npos);
}

TEST_CASE("settings name the control API and its duties") {
  const std::string base =
      "NodeName=n\nIp=127.0.0.1\nZone=z\nPlatform.Address=127.0.0.1:1\n";
  const auto parse = [&](const std::string& lines) {
    return ParsePlatformSettings(base + lines);
  };
  const auto absent = parse("");
  REQUIRE_FALSE(ValueOf(absent).reports_usage);
  const auto given = parse(
      "CloudApi.Address=127.0.0.1:9\nCloudApi.Duties=usage,scale\n"
      "CloudApi.DutyPerS=12.5\nBounds.ReportWindowS=2\nBounds.UsageLateS=4\n");
  REQUIRE(ValueOf(given).reports_usage);
  REQUIRE(ValueOf(given).control_api->port == 9);
  REQUIRE(ValueOf(given).control_api_calls_per_s == 12.5);
  REQUIRE(ValueOf(given).report_window == seconds(2));
  REQUIRE(ValueOf(given).usage_late == seconds(4));
  const auto scale_only =
      parse("CloudApi.Address=127.0.0.1:9\nCloudApi.Duties=scale\n");
  REQUIRE_FALSE(ValueOf(scale_only).reports_usage);
  for (const char* bad : {"CloudApi.Address=x\n", "Bounds.ReportWindowS=0\n",
                          "CloudApi.DutyPerS=0\n", "CloudApi.DutyPerS=x\n"}) {
    REQUIRE_FALSE(IsOk(parse(bad)));
  }
}

}  // namespace
}  // namespace briarspread::platform
