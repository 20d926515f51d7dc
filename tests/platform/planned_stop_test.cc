// Requests that arrive during a planned stop of an instance, to a replica that
// answers none of them in time.

#include <catch2/catch.hpp>

#include "tests/platform/edge_fixture.h"
#include "tests/support/raw_upstream.h"

namespace briarspread::platform {
namespace {

using briarspread::testing::RawUpstream;

// Guards against the report of requests that were taken late in the grace
// period and cut at its end with no answer (LOST).
TEST_CASE("no request is cut without an answer at the end of a planned stop") {
  EdgeFixture fixture;
  RawUpstream silent(fixture.loop, {});
  auto entry = nlohmann::json::parse(fixture.replica.Registration("desk"));
  entry["Address"] = "127.0.0.1:" + std::to_string(silent.endpoint().port);
  fixture.store.memory().Write("servers/desk", entry.dump());
  PlatformSettings settings = fixture.Settings("one");
  settings.grace = milliseconds(4000);
  ReadyInstance edge(fixture, settings);

  std::optional<proxy::CallResult> begun;
  proxy::RequestHead head;
  head.method = "POST";
  head.target = "/once/begun";
  head.headers.Add("Host", "h");
  head.headers.Add("X-Attempt-Id", "begun");
  proxy::ExchangeRequest request;
  request.to = *settings.frontend;
  request.bytes = proxy::RequestBytes::Make(head, "");
  proxy::StartCall(fixture.pool, std::move(request),
                   [&](proxy::CallResult got) { begun = std::move(got); });
  fixture.Await([&] { return silent.requests() == 1; });
  edge.node.Stop();

  // It may take longer than the grace period, and may run once only.
  const auto refused = fixture.Call(*settings.frontend, "POST", "/once/late");
  REQUIRE(refused.head.status == 503);
  REQUIRE(refused.head.headers.Find("Retry-After") != nullptr);
  REQUIRE(silent.requests() == 1);

  fixture.Await([&] { return begun.has_value(); });
  REQUIRE(std::holds_alternative<proxy::Response>(*begun));
  REQUIRE(std::get<proxy::Response>(*begun).head.status == 504);
}

}  // namespace
}  // namespace briarspread::platform
