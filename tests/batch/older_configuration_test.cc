// Jobs at an instance whose configuration is older than the one under which the
// job was submitted, so that it does not know of the job's route yet.

#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

// Guards against items that are given up as without a route (MIXED), since the
// home or a new owner has not learned of a new route.
TEST_CASE("a job waits for an instance that has its configuration") {
  JobGatewayFixture fixture;
  JobSpec spec = JobRunnerFixture::Spec();
  spec.host = "new";
  spec.configuration = forward::ConfigurationVersion(2);
  std::optional<Result<std::monostate>> answer;
  fixture.own.Accept(spec, "key", [&](const auto& got) { answer = got; });
  REQUIRE(answer.has_value());
  REQUIRE(ErrorOf(*answer).verdict == Verdict::kNotRun);

  StoredRecord orphan = fixture.AddOrphan(spec);
  orphan.record.configuration = spec.configuration;
  answer.reset();
  fixture.gateway.OnHandover(orphan, JobHandover{},
                             [&](const auto& got) { answer = got; });
  REQUIRE(answer.has_value());
  REQUIRE(ErrorOf(*answer).verdict == Verdict::kNotRun);
}

TEST_CASE("a submitted job carries the configuration of its instance") {
  JobGatewayFixture fixture;
  JobSpec spec = JobRunnerFixture::Spec();
  fixture.gateway.Submit(spec, [](const auto&) {});
  fixture.AwaitStore([&] { return fixture.own.Owns(spec.id); });
  const JobRecord record = fixture.own.RecordOf(spec.id).record;
  REQUIRE(record.configuration == forward::ConfigurationVersion(1));
  REQUIRE(DecodeJobRecord(Encode(record))->configuration ==
          record.configuration);
  spec.configuration = record.configuration;
  REQUIRE(DecodeJobSpec(Encode(spec))->configuration == record.configuration);
}

}  // namespace
}  // namespace briarspread::batch
