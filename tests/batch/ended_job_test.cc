// Items of jobs that other instances have ended. From a bound after the
// acknowledged end, no item may reach an engine.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

using Fault = AsyncMemoryStore::Fault;

constexpr milliseconds kMaxRecordAge{20};

JobRunnerSettings Settings() {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.max_record_age = kMaxRecordAge;
  settings.min_stall_timeout = milliseconds(60);
  return settings;
}

/// Runs the loop for longer than records stay confirmed. The store's answers
/// wait.
void WaitUntilUnconfirmed(JobRunnerFixture& fixture) {
  fixture.loop.restart();
  fixture.loop.run_for(2 * kMaxRecordAge);
}

/// Writes the end of a job to the store, as another instance does.
void EndElsewhere(JobRunnerFixture& fixture, StoredRecord stored) {
  stored.record.is_ended = true;
  fixture.store.Write("job-records/" + stored.id.value(),
                      Encode(stored.record));
}

// Guards against an owner that starts items of a job that another instance has
// ended, because it learns of the end only with its next write of results.
TEST_CASE("an owner starts no items long after its job was ended elsewhere") {
  JobRunnerFixture fixture(Settings());
  const JobId id("job");
  FakeUpstream silent(fixture.loop,
                      [](const proxy::Request&, const ResponderPtr&) {});
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  SECTION("items that wait for an engine") {
    REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
    EndElsewhere(fixture, fixture.runner.RecordOf(id));
    WaitUntilUnconfirmed(fixture);
    fixture.AddEngine("e", engine);
  }
  SECTION("items whose run stalled") {
    fixture.AddEngine("s", silent);
    REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
    fixture.AwaitStore([&] { return silent.requests.size() == 1; });
    EndElsewhere(fixture, fixture.runner.RecordOf(id));
    WaitUntilUnconfirmed(fixture);
    fixture.AddEngine("e", engine);
  }
  fixture.AwaitStore([&] { return !fixture.runner.Owns(id); });
  REQUIRE(engine.requests.empty());
  REQUIRE(fixture.runner.running_count() == 0);
}

// Guards against a new owner that reads a job's record, takes seconds to read
// the rest, and starts items of the job, which was ended meanwhile.
TEST_CASE("a job that is ended while a new owner loads it is not started") {
  JobRunnerFixture fixture(Settings());
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  const JobSpec spec = JobRunnerFixture::Spec();
  StoredRecord stored{
      spec.id, JobGatewayFixture::RecordOfOwner(fixture.self, spec), {}};
  fixture.jobs.Accept(spec, stored.record, [&](const auto& outcome) {
    stored.index = std::get<RecordWritten>(ValueOf(outcome)).index;
  });
  fixture.store.Deliver();
  fixture.runner.Load(stored, JobHandover{}, [](const auto&) {});
  EndElsewhere(fixture, stored);
  WaitUntilUnconfirmed(fixture);
  REQUIRE(fixture.runner.IsLoading(spec.id));
  fixture.store.Deliver();
  REQUIRE(fixture.runner.Owns(spec.id));
  fixture.AwaitStore([&] { return !fixture.runner.Owns(spec.id); });
  REQUIRE(engine.requests.empty());
}

// Guards against a confirmation that would stop all work in an outage of the
// store, in which no end can be acknowledged.
TEST_CASE("items start without a confirmation while the store fails") {
  JobRunnerFixture fixture(Settings());
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.store.SetFault(Fault::kLoseCall);
  WaitUntilUnconfirmed(fixture);
  fixture.AddEngine("e", engine);
  fixture.AwaitStore([&] { return engine.requests.size() == 1; });
}

// Guards against an owner that others hold for gone, but that still runs the
// job: its registration has expired, so it is not among the peers.
TEST_CASE("an unregistered owner is notified that its job was ended") {
  JobGatewayFixture fixture(Settings());
  FakeUpstream owner(fixture.loop,
                     [](const proxy::Request&, const ResponderPtr& responder) {
                       responder->Send(proxy::MakeResponse(503, "{}"));
                     });
  InstanceRecord record = Record("owner", 1);
  record.peer_endpoint = owner.endpoint();
  const JobSpec spec = JobRunnerFixture::Spec();
  fixture.jobs.Accept(spec, JobGatewayFixture::RecordOfOwner(record, spec),
                      [](const auto&) {});
  fixture.store.Deliver();
  std::optional<Result<std::monostate>> ended;
  fixture.gateway.End(spec.id, [&](const auto& got) { ended = got; });
  fixture.AwaitStore([&] { return ended.has_value(); });
  REQUIRE(IsOk(*ended));
  fixture.AwaitStore([&] {
    return std::any_of(
        owner.requests.begin(), owner.requests.end(), [](const auto& request) {
          const auto noticed = DecodeJobRecord(request.body);
          return request.head.target.starts_with("/v1/job-notices") &&
                 noticed.has_value() && noticed->is_ended;
        });
  });
}

}  // namespace
}  // namespace briarspread::batch
