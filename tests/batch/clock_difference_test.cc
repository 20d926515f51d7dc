// A job that is taken over by an instance whose time of day differs from that
// of the instance that accepted it.

#include <catch2/catch.hpp>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

// Guards against items that are given up before `item_time_to_live` (MIXED):
// the age of the job was taken from two clocks.
TEST_CASE("a clock that is ahead does not end a job that is taken over") {
  JobGatewayFixture fixture;
  JobSpec spec = JobRunnerFixture::Spec();
  StoredRecord orphan{spec.id, {}, StoreIndex()};
  orphan.record = JobGatewayFixture::RecordOfOwner(
      briarspread::testing::Record("gone", 1), spec);
  orphan.record.submitted = fixture.clock.WallNow() - seconds(60);
  fixture.jobs.Accept(spec, orphan.record, [](const auto&) {});
  fixture.store.Deliver();
  fixture.jobs.ReadRecord(spec.id,
                          [&](const auto& read) { orphan = ValueOf(read); });
  fixture.store.Deliver();
  fixture.own.Adopt(orphan, JobHandover{}, [](const auto&) {});
  fixture.AwaitStore([&] { return fixture.own.Owns(spec.id); });
  const TimePoint reviewed = fixture.clock.Now() + milliseconds(100);
  fixture.AwaitStore([&] { return fixture.clock.Now() >= reviewed; });
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  std::optional<ResultPage> page;
  fixture.AwaitStore([&] {
    fixture.own.Read(spec.id, 0, milliseconds(0), [&](const auto& got) {
      if (IsOk(got) && !ValueOf(got).results.empty()) page = ValueOf(got);
    });
    return page.has_value();
  });
  REQUIRE(page->results[0].is_complete);
}

}  // namespace
}  // namespace briarspread::batch
