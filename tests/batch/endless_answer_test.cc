// Engines and reward services whose answers do not end. They guard against the
// report of machines that kept such answers until they ran out of memory, and
// against a call that occupies its place for good.

#include <catch2/catch.hpp>

#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

TEST_CASE("a text that does not end is dropped and begins at another engine") {
  JobRunnerFixture fixture;
  std::size_t longest = 0;
  const std::string data(50'000, 'x');
  FakeUpstream endless(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(fixture.EngineHead(200));
        const auto timer = std::make_shared<LoopTimer>(fixture.loop);
        const auto n = std::make_shared<std::uint64_t>(0);
        timer->Every(milliseconds(1), [=, &longest] {
          responder->Write("id: " + std::to_string(++*n) + "\ndata: " + data +
                           "\n\n");
          longest = std::max<std::size_t>(longest, *n);
        });
        responder->SetOnDisconnect([timer] { timer->Cancel(); });
      });
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("endless", endless);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return endless.requests.size() == 1; });
  fixture.AddEngine("sound", sound);
  const ResultPage page = fixture.AwaitResults(1);
  REQUIRE(page.results[0].text == "e1\ne2");
  REQUIRE(sound.requests.size() == 1);
  REQUIRE(sound.requests[0].head.headers.Find("Last-Event-Id") == nullptr);
}

TEST_CASE("an item's text has a limit below that of a stored result") {
  ItemProgress progress;
  proxy::StreamEvent event;
  event.data = std::string(100'000, 'x');
  std::uint64_t n = 0;
  ItemProgress::Outcome outcome = ItemProgress::Outcome::kAdded;
  while (n < 20 && outcome == ItemProgress::Outcome::kAdded) {
    event.id = ++n;
    outcome = progress.Add(event, WeightVersion(1), SoftwareVersion("v"));
  }
  REQUIRE(outcome == ItemProgress::Outcome::kOverlong);
  REQUIRE(progress.text().size() < kMaxItemTextBytes);
  REQUIRE(kMaxItemTextBytes < kMaxJobValueBytes);
}

TEST_CASE("a reward call whose answer does not end is ended") {
  JobRunnerFixture fixture;
  fixture.AddIdempotentRoute("/reward/", milliseconds(1000));
  const auto endless = forward::RespondEndlessly(
      fixture.loop, fixture.EngineHead(200), std::string(1'000, 'x'));
  FakeUpstream rewards(fixture.loop, endless);
  fixture.Add("w", rewards);
  std::optional<RewardOutcome> outcome;
  RewardRun run(fixture.context, RewardCall{"r", "h", "/reward/x", ""},
                [&](const RewardOutcome& got) { outcome = got; });
  run.Start();
  fixture.Await([&] { return outcome.has_value(); });
  REQUIRE(outcome->score.empty());
}

}  // namespace
}  // namespace briarspread::batch
