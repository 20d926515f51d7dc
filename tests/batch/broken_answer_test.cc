// Broken answers of engines and of reward services: no item takes a text from
// them, and no reward call a score. They guard against reports of operators
// (MIXED) of answers that were broken and reached clients.

#include <catch2/catch.hpp>

#include "tests/batch/job_runner_fixture.h"
#include "tests/support/broken_answers.h"

namespace briarspread::batch {
namespace {

using briarspread::testing::kLongBodyBytes;
using briarspread::testing::MakeInvalidAnswers;
using briarspread::testing::MakeResetAnswer;
using briarspread::testing::RawUpstream;

const std::string kSigned =
    "Briarspread-Signature: sig\r\nBriarspread-Weight-Versions: 2\r\n";

/// Runs a job of one item at an engine that sends a broken answer, then at a
/// sound one, and returns the item's text.
std::string RunItem(const std::string& answer, std::size_t body_bytes) {
  JobRunnerFixture fixture;
  RawUpstream broken(fixture.loop, {answer});
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngineAt("broken", broken.endpoint());
  JobSpec spec = JobRunnerFixture::Spec();
  spec.items[0].body = std::string(body_bytes, 'b');
  REQUIRE(fixture.Accept(spec));
  fixture.AwaitStore([&] { return broken.requests() == 1; });
  fixture.AddEngine("sound", sound);
  return fixture.AwaitResults(1).results[0].text;
}

/// Sends a reward call to a service that sends a broken answer to each attempt,
/// and returns its score.
std::string RunRewardCall(const std::string& answer, std::size_t body_bytes) {
  JobRunnerFixture fixture;
  fixture.AddIdempotentRoute("/reward/", milliseconds(1000));
  RawUpstream broken(fixture.loop, briarspread::testing::RepeatAnswer(answer));
  fixture.AddEngineAt("broken", broken.endpoint());
  std::optional<RewardOutcome> outcome;
  RewardRun run(fixture.context,
                RewardCall{"r", "h", "/reward/x", std::string(body_bytes, 'b')},
                [&](const RewardOutcome& got) { outcome = got; });
  run.Start();
  fixture.Await([&] { return outcome.has_value(); });
  REQUIRE(broken.requests() > 0);
  return outcome->score;
}

TEST_CASE("an item's text is not completed by an answer that is reset") {
  const std::string type = "Content-Type: text/event-stream\r\n";
  REQUIRE(RunItem(MakeResetAnswer(kSigned + type, "id: 1\ndata: e1\n\n"),
                  kLongBodyBytes) == "e1\ne2");
}

TEST_CASE("a reward call has no score from an answer that is reset") {
  REQUIRE(
      RunRewardCall(MakeResetAnswer(kSigned, "half"), kLongBodyBytes).empty());
}

TEST_CASE("an item's text is not completed by an invalid answer") {
  const std::string type = "Content-Type: text/event-stream\r\n";
  for (const std::string& answer :
       MakeInvalidAnswers(kSigned + type, "id: 1\ndata: e1\n\n")) {
    CAPTURE(answer);
    REQUIRE(RunItem(answer, 0) == "e1\ne2");
  }
}

TEST_CASE("a reward call has no score from an invalid answer") {
  for (const std::string& answer : MakeInvalidAnswers(kSigned, "no")) {
    CAPTURE(answer);
    REQUIRE(RunRewardCall(answer, 0).empty());
  }
}

}  // namespace
}  // namespace briarspread::batch
