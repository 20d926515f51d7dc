// rollout_bench: the rollout decisions against baselines, with an injected
// clock and small models of engines and trainers.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <thread>

#include "bench/rollout_bench/report.h"

DEFINE_string(mode, "table", "table, curve or proof");
DEFINE_uint64(seed, 20261204, "seed of the random numbers");
DEFINE_uint64(samples, 100000, "samples of the proof run");
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
    std::vector<Policy> policies = {Ours(LeadSettings{}.staleness_weight)};
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
      curve.push_back({weight, Run(deployment, Ours(weight), "all")});
    }
  }
  std::cout << ToCsv(curve);
  Write(FLAGS_csv, ToCsv(curve));
  Write(FLAGS_svg, ToSvg(curve));
  return 0;
}

bool IsBroken(const testing::TrainerModelReport& report) {
  return report.lost + report.doubled + report.mislabelled + report.over_age >
         0;
}

int PrintProof() {
  ProofSettings settings;
  settings.samples = FLAGS_samples;
  settings.seed = FLAGS_seed;
  const auto report = RunProof(settings);
  std::cout << ToText(report);
  Write(FLAGS_json, ToJson(report, FLAGS_seed));
  return IsBroken(report) ? 1 : 0;
}

int RunMode() {
  std::cout << "seed " << FLAGS_seed << ", cores "
            << std::thread::hardware_concurrency() << "\n";
  if (FLAGS_mode == "table") return PrintTable();
  if (FLAGS_mode == "curve") return PrintCurve();
  if (FLAGS_mode == "proof") return PrintProof();
  std::cerr << "rollout_bench: --mode: found '" << FLAGS_mode
            << "', allowed: table, curve, proof\n";
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
