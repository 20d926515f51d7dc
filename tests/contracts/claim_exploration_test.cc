#include <catch2/catch.hpp>
#include <iostream>

#include "claim_model.h"

namespace briarspread::testing {
namespace {

Exploration ExploreWith(const char* name, FaultBudget budget,
                        Omission omission = Omission::kNone,
                        bool starts_in_sync = true) {
  auto result = Explore(ClaimModel(budget, omission, starts_in_sync));
  std::cout << "exploration " << name << ": " << result.states << " states, "
            << (result.violation.empty() ? "no violation" : result.violation)
            << "\n";
  return result;
}

/// Requires that no key ran twice and that every process ran a request in some
/// state, so that safety does not come from refusing all requests.
void RequireSafe(const Exploration& result) {
  REQUIRE(result.violation.empty());
  for (const bool has_run : result.has_run) REQUIRE(has_run);
}

TEST_CASE("no interleaving runs a key twice, standby in sync") {
  RequireSafe(ExploreWith("in sync", {}));
}

TEST_CASE("no interleaving runs a key twice, standby out of sync") {
  RequireSafe(ExploreWith("out of sync", {}, Omission::kNone, false));
}

TEST_CASE("no interleaving runs a key twice, standby brought in sync") {
  FaultBudget budget;
  budget.syncs = 1;
  budget.time_steps = 0;
  RequireSafe(ExploreWith("brought in sync", budget, Omission::kNone, false));
}

TEST_CASE("no interleaving runs a key twice, owner and standby both lost") {
  FaultBudget budget;
  budget.crashes = 2;
  budget.lost_batches = 0;
  budget.time_steps = 0;
  RequireSafe(ExploreWith("two crashes", budget));
}

TEST_CASE("no interleaving runs a key twice, a run refused by its upstream") {
  FaultBudget budget;
  budget.refused_runs = 1;
  budget.sends_of_first_key = 3;
  budget.outages = 0;
  budget.lost_store_responses = 0;
  budget.time_steps = 1;
  RequireSafe(ExploreWith("refused run", budget));
}

TEST_CASE("a key can run twice if any one protection is omitted") {
  const std::pair<const char*, Omission> omissions[] = {
      {"no commit before the run", Omission::kCommitBeforeRun},
      {"no seal", Omission::kSeal},
      {"no fence", Omission::kFence},
      {"no proof that the owner ended", Omission::kProofOfDeath},
      {"no evidence of the standby", Omission::kStandbyEvidence},
      {"no expiry of the takeover lease", Omission::kLeaseExpiry},
      {"unknown append treated as failed", Omission::kUnknownAppend},
      {"inherited claims dropped", Omission::kInheritedClaims}};
  for (const auto& [name, omission] : omissions) {
    INFO(name);
    REQUIRE_FALSE(ExploreWith(name, {}, omission).violation.empty());
  }
}

}  // namespace
}  // namespace briarspread::testing
