// Submissions whose accept has more than one attempt, at one or two instances.

#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

using Fault = AsyncMemoryStore::Fault;

constexpr char kSpecs[] = "job-specs/";

// Guards against the failure of review/5 (REFUSED): a job was answered "not
// run" since the last attempt had not run, and ran later since the first had.
TEST_CASE("an accept is not run only if none of its attempts may have run") {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.accept_retry_timeout = milliseconds(30);
  JobGatewayFixture fixture(settings);
  std::optional<Result<std::monostate>> answer;
  SECTION("the first answer was lost, then the store refuses") {
    fixture.store.FailNextCommit(kSpecs, Fault::kLoseAnswer);
    fixture.store.SetFault(Fault::kRefuse);
    fixture.gateway.Submit(JobRunnerFixture::Spec(),
                           [&](const auto& got) { answer = got; });
    fixture.AwaitStore([&] { return answer.has_value(); });
    REQUIRE(ErrorOf(*answer).verdict == Verdict::kMayHaveRun);
  }
  SECTION("the store refuses for a while, then names this instance") {
    fixture.store.FailNextCommit(kSpecs, Fault::kLoseAnswer);
    fixture.store.FailNextCommit(kSpecs, Fault::kRefuse);
    fixture.store.FailNextCommit(kSpecs, Fault::kRefuse);
    fixture.gateway.Submit(JobRunnerFixture::Spec(),
                           [&](const auto& got) { answer = got; });
    fixture.AwaitStore([&] { return answer.has_value(); });
    REQUIRE(IsOk(*answer));
  }
  SECTION("all attempts were refused") {
    fixture.store.SetFault(Fault::kRefuse);
    fixture.gateway.Submit(JobRunnerFixture::Spec(),
                           [&](const auto& got) { answer = got; });
    fixture.AwaitStore([&] { return answer.has_value(); });
    REQUIRE(ErrorOf(*answer).verdict == Verdict::kNotRun);
  }
}

// The same where the job's home is another instance.
TEST_CASE("a job that its home may have accepted is not answered as not run") {
  JobGatewayFixture fixture;
  int status = 504;
  FakeUpstream home(fixture.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      if (status == 0) {
                        responder->Abort();
                      } else {
                        responder->Send(proxy::MakeResponse(status, "{}"));
                      }
                    });
  const auto submit = [&] {
    JobSpec spec = JobRunnerFixture::Spec();
    // A job whose home is the other instance.
    for (int i = 0; !fixture.IsHome("home", spec); ++i) {
      spec.model = ModelName("m" + std::to_string(i));
      spec.id = JobId("job" + std::to_string(i));
    }
    std::optional<Result<std::monostate>> answer;
    fixture.gateway.Submit(spec, [&](const auto& got) { answer = got; });
    fixture.AwaitStore([&] { return answer.has_value(); });
    return ErrorOf(*answer).verdict;
  };
  InstanceRecord record = Record("home", 1);
  record.peer_endpoint = home.endpoint();
  fixture.AddInstance(record);
  fixture.store.SetFault(Fault::kRefuse);
  REQUIRE(submit() == Verdict::kMayHaveRun);
  status = 0;
  REQUIRE(submit() == Verdict::kMayHaveRun);
  status = 503;
  REQUIRE(submit() == Verdict::kNotRun);
}

}  // namespace
}  // namespace briarspread::batch
