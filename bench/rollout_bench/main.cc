// rollout_bench compares rollout scheduling with baselines in a simulation of
// engines and trainers.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <thread>

#include "bench/rollout_bench/cost.h"
#include "bench/rollout_bench/report.h"
#include "tests/rollout_model/fault_injection.h"

DEFINE_string(mode, "table", "table, curve, proof or cost");
DEFINE_uint64(seed, 20261204, "seed of the random numbers");
DEFINE_uint64(samples, 100000, "samples of the proof run");
DEFINE_string(without, "", "protection to switch off in the proof run");
DEFINE_string(json, "", "file for the report as JSON (table, proof)");
DEFINE_string(csv, "", "file for the curve as CSV");
DEFINE_string(svg, "", "file for the curve's plot");

namespace briarspread::bench {
namespace {

constexpr int kCurveSteps = 10;

void Write(const std::string& path, const std::string& text) {
  if (!path.empty()) std::ofstream(path) << text << "\n";
}

std::vector<Deployment> Deployments() {
  return {Mantaro(FLAGS_seed), Caledonian(FLAGS_seed)};
}

int PrintTable() {
  std::vector<Outcome> outcomes;
  std::vector<StepTime> times;
  for (const Deployment& deployment : Deployments()) {
    Deployment faulty = deployment;
    AddFaults(faulty);
    std::vector<Policy> policies = {OwnPolicy(LeadSettings{}.staleness_weight)};
    policies.push_back(OwnPolicy(1));
    policies.back().name = "ours, fresh";
    for (Policy& policy : Baselines()) policies.push_back(std::move(policy));
    for (const Policy& policy : policies) {
      outcomes.push_back(Run(deployment, policy, "swaps"));
      outcomes.push_back(Run(faulty, policy, "all"));
    }
    for (const std::uint32_t groups : {128U, 512U}) {
      times.push_back(MeasureStepTime(deployment, groups));
    }
  }
  std::cout << ToText(outcomes) << "\n" << ToText(times);
  Write(FLAGS_json, ToJson(outcomes, times, FLAGS_seed));
  return 0;
}

int PrintCurve() {
  std::vector<CurvePoint> curve;
  for (Deployment deployment : Deployments()) {
    AddFaults(deployment);
    for (int i = 0; i <= kCurveSteps; ++i) {
      const double weight = static_cast<double>(i) / kCurveSteps;
      curve.push_back({weight, Run(deployment, OwnPolicy(weight), "all")});
    }
  }
  std::cout << ToCsv(curve);
  Write(FLAGS_csv, ToCsv(curve));
  Write(FLAGS_svg, ToSvg(curve));
  return 0;
}

/// Disables the protection `name`, or none if `name` is empty. Returns false if
/// there is no such protection.
bool DisableProtection(const std::string& name,
                       testing::FaultInjectionSettings& settings) {
  if (name.empty()) return true;
  if (name == "cursor") settings.protections.sends_cursor = false;
  if (name == "cursor-with-batch") {
    settings.protections.keeps_cursor_with_batch = false;
  }
  if (name == "post-again") settings.protections.posts_step_again = false;
  if (name == "staleness") settings.enforces_staleness = false;
  if (name == "versions") settings.requires_versions = false;
  return name == "cursor" || name == "cursor-with-batch" ||
         name == "post-again" || name == "staleness" || name == "versions";
}

int PrintProof() {
  testing::FaultInjectionSettings settings;
  settings.samples = FLAGS_samples;
  settings.seed = FLAGS_seed;
  if (!DisableProtection(FLAGS_without, settings)) {
    std::cerr << "rollout_bench: --without: found '" << FLAGS_without
              << "', allowed: cursor, cursor-with-batch, post-again, "
                 "staleness, versions\n";
    return 2;
  }
  const auto report = testing::RunFaultInjection(settings);
  std::cout << ToText(report);
  Write(FLAGS_json, ToJson(report, FLAGS_seed));
  return testing::HasViolations(report) ? 1 : 0;
}

int PrintCost() {
  for (const std::uint32_t trainers : {1U, 3U, 9U}) {
    for (const std::uint32_t groups : {128U, 1024U}) {
      const DecisionCost cost = MeasureCost(trainers, groups, 8);
      std::cout << "trainers " << cost.trainers << ", samples a step "
                << cost.samples_per_step << ": us a run " << cost.run_us
                << ", us a pull " << cost.pull_us << ", us a cursor "
                << cost.cursor_us << ", bytes of a cursor " << cost.cursor_bytes
                << "\n";
    }
  }
  return 0;
}

int RunMode() {
  std::cout << "seed " << FLAGS_seed << ", cores "
            << std::thread::hardware_concurrency() << "\n";
  if (FLAGS_mode == "table") return PrintTable();
  if (FLAGS_mode == "curve") return PrintCurve();
  if (FLAGS_mode == "proof") return PrintProof();
  if (FLAGS_mode == "cost") return PrintCost();
  std::cerr << "rollout_bench: --mode: found '" << FLAGS_mode
            << "', allowed: table, curve, proof, cost\n";
  return 2;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "measures the rollout decisions against baselines\n"
      "exit codes: 0 done, 1 a promise broken, 2 bad arguments");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::RunMode();
}
