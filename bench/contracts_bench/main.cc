#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "claim_simulation.h"

DEFINE_uint64(seed, 20261204, "Seed of the arrivals.");
DEFINE_int32(duration, 60, "Simulated seconds of each steady run.");
DEFINE_double(keyed_today, 200, "Keyed requests a second, 7 instances.");
DEFINE_double(keyed_planned, 3000, "Keyed requests a second, 410 nodes.");
DEFINE_int32(homes_planned, 32, "Homes of keys at 410 nodes.");
DEFINE_string(json, "", "File for the results as JSON; empty for none.");

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

constexpr seconds kOutage{1200};
constexpr seconds kUntilFailure{300};

constexpr std::array kDesigns{ClaimDesign::kWritePerClaim, ClaimDesign::kToken,
                              ClaimDesign::kGroupInLog,
                              ClaimDesign::kGroupAtStandby};

const char* NameOf(ClaimDesign design) {
  switch (design) {
    case ClaimDesign::kWritePerClaim:
      return "A write per claim";
    case ClaimDesign::kToken:
      return "B token (model)";
    case ClaimDesign::kGroupInLog:
      return "D group in log";
    case ClaimDesign::kGroupAtStandby:
      return "D group at standby";
  }
  return "";
}

Json RunSteady(const FleetSize& size, ClaimDesign design, int delay_ms) {
  const SteadyResult result =
      SimulateSteady(size, Delays{}, design, milliseconds(delay_ms),
                     seconds(FLAGS_duration), FLAGS_seed);
  std::printf("%-8s %-19s %5d ms %10.1f %9.2f %9.2f\n", size.name.c_str(),
              NameOf(design), delay_ms, result.store_writes_per_second,
              result.mean_latency_ms, result.p99_latency_ms);
  return Json{{"size", size.name},
              {"way", NameOf(design)},
              {"batching_delay_ms", delay_ms},
              {"store_writes_per_second", result.store_writes_per_second},
              {"mean_latency_ms", result.mean_latency_ms},
              {"p99_latency_ms", result.p99_latency_ms}};
}

Json RunOutage(const FleetSize& size, ClaimDesign design) {
  const double none =
      SimulateOutage(size, design, Failure::kNone, kOutage, kUntilFailure);
  const double killed =
      SimulateOutage(size, design, Failure::kKilled, kOutage, kUntilFailure);
  const double frozen =
      SimulateOutage(size, design, Failure::kFrozen, kOutage, kUntilFailure);
  std::printf("%-8s %-19s %9.2f%% %9.2f%% %9.2f%%\n", size.name.c_str(),
              NameOf(design), 100 * none, 100 * killed, 100 * frozen);
  return Json{{"size", size.name},
              {"way", NameOf(design)},
              {"refused_none", none},
              {"refused_killed", killed},
              {"refused_frozen", frozen}};
}

Json RunAll() {
  const std::array sizes{
      FleetSize{"today", 7, FLAGS_keyed_today},
      FleetSize{"planned", FLAGS_homes_planned, FLAGS_keyed_planned}};
  Json steady = Json::array();
  std::printf("\n%-8s %-19s %8s %10s %9s %9s\n", "size", "way", "delay",
              "writes/s", "mean ms", "p99 ms");
  for (const FleetSize& size : sizes) {
    for (const ClaimDesign design : kDesigns) {
      const bool is_batched = design >= ClaimDesign::kGroupInLog;
      for (const int delay_ms : {0, 1, 2, 5, 10, 20, 50}) {
        if (!is_batched && delay_ms > 0) break;
        steady.push_back(RunSteady(size, design, delay_ms));
      }
    }
  }
  Json outage = Json::array();
  std::printf(
      "\nnew keys refused in an outage of 1200 s, an instance lost "
      "after 300 s\n%-8s %-19s %10s %10s %10s\n",
      "size", "way", "none lost", "killed", "frozen");
  for (const FleetSize& size : sizes) {
    for (const ClaimDesign it : kDesigns) outage.push_back(RunOutage(size, it));
  }
  return Json{{"seed", FLAGS_seed},
              {"cores", std::thread::hardware_concurrency()},
              {"steady", std::move(steady)},
              {"outage", std::move(outage)}};
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("seed %llu, %u cores; simulated time\n",
              static_cast<unsigned long long>(FLAGS_seed),
              std::thread::hardware_concurrency());
  const auto results = briarspread::bench::RunAll();
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << results.dump(2) << "\n";
  return 0;
}
