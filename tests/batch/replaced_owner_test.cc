// Owners of jobs that were replaced, and what they write to the store.

#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

/// Returns an answer that never ends: the events 1 to `events`, each of
/// `bytes` bytes.
FakeUpstream::RespondFunction LongRun(const JobRunnerFixture& fixture,
                                      int events, std::size_t bytes) {
  return [&fixture, events, bytes](const proxy::Request&,
                                   const ResponderPtr& responder) {
    responder->Start(fixture.EngineHead(200));
    for (int n = 1; n <= events; ++n) {
      responder->Write("id: " + std::to_string(n) +
                       "\ndata: " + std::string(bytes, 'x') + "\n\n");
    }
  };
}

JobRunnerSettings CheckpointingSettings() {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.events_per_checkpoint = 1;
  settings.checkpoint_interval = milliseconds(5);
  return settings;
}

// Guards against the failure of review/3 (LOST): a checkpoint was larger than
// the store's limit, and results and the end of the job waited behind it.
TEST_CASE("a job with much unfinished text lists its results and ends") {
  JobRunnerFixture fixture(CheckpointingSettings());
  constexpr int kItems = 8;
  FakeUpstream engine(fixture.loop, LongRun(fixture, 10, 40'000));
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("a", engine);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec(kItems)));
  fixture.AwaitStore([&] { return fixture.runner.running_count() == kItems; });
  // The text of all items comes before anything is written.
  for (int i = 0; i < 40; ++i) {
    fixture.loop.restart();
    fixture.loop.run_for(milliseconds(5));
  }
  SECTION("all text is kept, in several writes") {
    fixture.AwaitStore([&] {
      std::optional<std::size_t> kept;
      fixture.jobs.ReadProgress(JobId("job"), [&](const auto& read) {
        kept = 0;
        for (const auto& [item, progress] : ValueOf(read)) {
          *kept += progress.events() == 10 ? 1U : 0U;
        }
      });
      fixture.store.Deliver();
      return kept == kItems;
    });
  }
  SECTION("the end is written") {
    std::optional<Result<std::monostate>> ended;
    fixture.runner.End(JobId("job"), [&](const auto& got) { ended = got; });
    fixture.AwaitStore([&] { return ended.has_value(); });
    REQUIRE(IsOk(*ended));
  }
}

// Guards against the same failure: an owner that was frozen went on with its
// job and answered reads from what it knew, after others had listed results.
TEST_CASE("an owner gives its job up once it can know that it was replaced") {
  JobGatewayFixture fixture;
  FakeUpstream silent(fixture.loop,
                      [](const proxy::Request&, const ResponderPtr&) {});
  fixture.AddEngine("e", silent);
  std::optional<Result<std::monostate>> accepted;
  const JobSpec spec = JobRunnerFixture::Spec();
  fixture.gateway.Submit(spec, [&](const auto& got) { accepted = got; });
  fixture.AwaitStore([&] { return fixture.own.running_count() == 1; });
  InstanceRecord taker = Record("taker", 1);
  fixture.AddInstance(taker);
  StoredRecord taken = fixture.own.RecordOf(spec.id);
  taken.record.owner = taker.name;
  taken.record.owner_endpoint = taker.peer_endpoint;
  fixture.jobs.ReplaceRecord(
      spec.id, taken.record, taken.index, [&](const auto& outcome) {
        taken.index = std::get<RecordWritten>(ValueOf(outcome)).index;
      });
  fixture.store.Deliver();
  REQUIRE(fixture.own.Owns(spec.id));
  SECTION("by a notice of the new owner") { fixture.gateway.OnNotice(taken); }
  SECTION("by its own registration, which had lapsed") {
    fixture.store.ExpireLease(fixture.registry.lease());
  }
  fixture.AwaitStore([&] { return !fixture.own.Owns(spec.id); });
  REQUIRE(fixture.own.running_count() == 0);
  // It did not take until the items expired, which has the owner write.
  REQUIRE(fixture.own.metrics().items_given_up.empty());
}

}  // namespace
}  // namespace briarspread::batch
