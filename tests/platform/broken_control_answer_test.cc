// Broken answers to orders, to requests for an engine's report and to calls of
// the control API: none is taken for an outcome. They guard against reports of
// operators (MIXED) of answers that were broken and reached clients.

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "platform/control_api_client.h"
#include "platform/engine_client.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/broken_answers.h"

namespace briarspread::platform {
namespace {

using briarspread::testing::RawUpstream;

/// Answers that are invalid or reset, with a body that would be accepted.
std::vector<std::string> MakeBrokenAnswers() {
  const std::string body = R"({"Models":[],"Orders":1})";
  auto answers = briarspread::testing::MakeInvalidAnswers("X: y\r\n", body);
  answers.push_back(briarspread::testing::MakeResetAnswer("", body));
  return answers;
}

TEST_CASE("a broken answer to an order or a report is no outcome") {
  for (const std::string& answer : MakeBrokenAnswers()) {
    CAPTURE(answer);
    forward::ForwardFixture fixture;
    RawUpstream engine(fixture.loop, {answer, answer});
    fixture.AddAt("engine", engine.endpoint());
    EngineClient client(fixture.context, InstanceId("one"));
    versions::SentOrder order;
    order.order.engine = UpstreamId("engine");
    order.order.model = ModelName("m");
    std::optional<versions::OrderOutcome> outcome;
    client.Send(order, [&](versions::OrderOutcome got) { outcome = got; });
    fixture.Await([&] { return outcome.has_value(); });
    REQUIRE(*outcome == versions::OrderOutcome::kUnknown);
    std::optional<bool> is_reported;
    client.ReadReport(UpstreamId("engine"),
                      [&](const Result<versions::EngineReport>& got) {
                        is_reported = IsOk(got);
                      });
    fixture.Await([&] { return is_reported.has_value(); });
    REQUIRE_FALSE(*is_reported);
  }
}

TEST_CASE("a broken answer of the control API acknowledges nothing") {
  for (const std::string& answer : MakeBrokenAnswers()) {
    CAPTURE(answer);
    forward::ForwardFixture fixture;
    RawUpstream api(fixture.loop, {answer});
    ControlApiClient client(fixture.loop, api.endpoint(), 1.0,
                            InstanceId("one"), fixture.clock);
    std::optional<duties::ReportOutcome> outcome;
    client.ReportUsage({}, FencingNumber(1),
                       [&](duties::ReportOutcome got) { outcome = got; });
    fixture.Await([&] { return outcome.has_value(); });
    REQUIRE(*outcome == duties::ReportOutcome::kFailed);
  }
}

}  // namespace
}  // namespace briarspread::platform
