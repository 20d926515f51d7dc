// Jobs whose record in the store names an instance that does not hold them.

#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

using Fault = AsyncMemoryStore::Fault;

constexpr char kRecords[] = "job-records/";

// Guards against the failure of review/1 (LOST): the store named an instance as
// a job's owner, but no instance ran the job again.
TEST_CASE("a job is run by the owner that the store names, however it came") {
  JobGatewayFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  const JobSpec spec = JobRunnerFixture::Spec();
  SECTION("the answer to its takeover was lost") {
    const StoredRecord stored = fixture.AddOrphan(spec);
    fixture.store.FailNextCommit(kRecords, Fault::kLoseAnswer);
    fixture.gateway.OnNotice(stored);
  }
  SECTION("a part of it could not be read") {
    const StoredRecord stored = fixture.AddOrphan(spec);
    fixture.store.FailNextRead("job-specs/", Fault::kRefuse);
    fixture.gateway.OnNotice(stored);
  }
  SECTION("the answer to its handover was lost") {
    const StoredRecord stored = fixture.AddOrphan(spec);
    fixture.store.FailNextCommit(kRecords, Fault::kLoseAnswer);
    std::optional<Result<std::monostate>> answer;
    fixture.gateway.OnHandover(stored, JobHandover{},
                               [&](const auto& got) { answer = got; });
    fixture.AwaitStore([&] { return answer.has_value(); });
    REQUIRE_FALSE(IsOk(*answer));
  }
  fixture.AwaitStore([&] { return engine.requests.size() == 1; });
  fixture.AwaitStore([&] { return fixture.own.Owns(spec.id); });
}

// The same for a submission whose caller got an answer that promises nothing.
TEST_CASE("a job is run although all answers to its accept were lost") {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.accept_retry_timeout = milliseconds(20);
  JobGatewayFixture fixture(settings);
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  fixture.store.SetFault(Fault::kLoseAnswer);
  std::optional<Result<std::monostate>> answer;
  fixture.gateway.Submit(JobRunnerFixture::Spec(),
                         [&](const auto& got) { answer = got; });
  fixture.AwaitStore([&] { return answer.has_value(); });
  REQUIRE(ErrorOf(*answer).verdict == Verdict::kMayHaveRun);
  fixture.store.SetFault(Fault::kNone);
  fixture.AwaitStore([&] { return engine.requests.size() == 1; });
}

// The same for an instance that does not know of its job at all: a peer that
// reads the record asks it.
TEST_CASE("an instance that is asked for a job that it should hold loads it") {
  JobGatewayFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  const JobSpec spec = JobRunnerFixture::Spec();
  fixture.jobs.Accept(spec,
                      JobGatewayFixture::RecordOfOwner(Record("a", 1), spec),
                      [](const auto&) {});
  fixture.store.Deliver();
  fixture.gateway.OnUnheldJobRequested(spec.id);
  fixture.AwaitStore([&] { return engine.requests.size() == 1; });
}

}  // namespace
}  // namespace briarspread::batch
