#include "tests/rollout_model/fault_injection.h"

#include <catch2/catch.hpp>

namespace briarspread::testing {
namespace {

FaultInjectionSettings SmallRun() {
  FaultInjectionSettings settings;
  settings.samples = 20'000;
  return settings;
}

TEST_CASE("Trainers get each sample once, fresh and with correct versions") {
  const TrainerModelReport report = RunFaultInjection(SmallRun());
  REQUIRE(report.samples >= 20'000);
  REQUIRE(report.kills > 0);
  REQUIRE(report.lost_replies > 0);
  REQUIRE(report.lost == 0);
  REQUIRE(report.duplicated == 0);
  REQUIRE(report.mislabelled == 0);
  REQUIRE(report.too_stale == 0);
}

TEST_CASE("Without the cursor, groups are delivered twice") {
  FaultInjectionSettings settings = SmallRun();
  settings.protections.sends_cursor = false;
  REQUIRE(RunFaultInjection(settings).duplicated > 0);
}

TEST_CASE("If the cursor is stored without its batch, groups are lost") {
  FaultInjectionSettings settings = SmallRun();
  settings.protections.keeps_cursor_with_batch = false;
  REQUIRE(RunFaultInjection(settings).lost > 0);
}

TEST_CASE("If steps are not submitted again, a crash loses their groups") {
  FaultInjectionSettings settings = SmallRun();
  settings.protections.posts_step_again = false;
  REQUIRE(RunFaultInjection(settings).lost > 0);
}

TEST_CASE("Without the staleness check, samples exceed the bound") {
  FaultInjectionSettings settings = SmallRun();
  settings.enforces_staleness = false;
  REQUIRE(RunFaultInjection(settings).too_stale > 0);
}

TEST_CASE("Without the versions check, samples have wrong versions") {
  FaultInjectionSettings settings = SmallRun();
  settings.requires_versions = false;
  REQUIRE(RunFaultInjection(settings).mislabelled > 0);
}

}  // namespace
}  // namespace briarspread::testing
