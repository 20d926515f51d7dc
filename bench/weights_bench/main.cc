// Measures weight rollouts in a simulation with a manual clock: seconds until
// all replicas have a version, and bytes transferred over the paid links and
// from the weight store.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/weights_bench/rollout_model.h"

DEFINE_uint64(seed, 20261204, "seed of the random numbers");
DEFINE_uint64(link_rate, 28'000'000,
              "bytes a second of each link that rollouts may take");
DEFINE_uint64(store_rate, 500'000'000,
              "bytes a second of the weight store that rollouts may take");
DEFINE_uint64(replica_rate, 1'250'000'000, "bytes a second a replica sends");
DEFINE_uint64(swap_ms, 1000, "milliseconds of a swap, the bytes being there");
DEFINE_double(live_floor, 0.5, "part of each zone that keeps serving");
DEFINE_double(target_s, 21, "seconds within which all replicas must have it");
DEFINE_string(json, "", "file for the results as JSON");

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

struct FleetSize {
  std::size_t replicas;
  std::size_t regions;
  std::size_t zones;
};

/// The two models in use today, and the largest size of the design.
constexpr FleetSize kSizes[] = {{9, 2, 3}, {5, 2, 3}, {12000, 9, 20}};
/// Sizes of an adapter, a small model and a large model.
constexpr std::uint64_t kVersionBytes[] = {200'000'000, 2'000'000'000,
                                           16'000'000'000};
constexpr std::uint32_t kFanOuts[] = {1, 2, 4, 8};

Json RunOne(const FleetSize& size, std::uint64_t bytes, std::uint32_t fan_out) {
  FleetModel fleet;
  fleet.replicas = size.replicas;
  fleet.regions = size.regions;
  fleet.zones = size.zones;
  fleet.version_bytes = bytes;
  fleet.store_rate = FLAGS_store_rate;
  fleet.link_rate = FLAGS_link_rate;
  fleet.replica_rate = FLAGS_replica_rate;
  fleet.swap_time = milliseconds(FLAGS_swap_ms);
  fleet.live_floor = FLAGS_live_floor;
  fleet.fan_out = fan_out;
  fleet.seed = FLAGS_seed;
  const RolloutResult result = RolloutModel(fleet).Run();
  return Json{{"replicas", size.replicas},
              {"version_mb", bytes / 1'000'000},
              {"fan_out", fan_out},
              {"complete", result.complete},
              {"seconds", result.seconds},
              {"pull_s", result.pull_seconds},
              {"spread_s", result.seconds - result.pull_seconds},
              {"over_target_s", result.seconds - FLAGS_target_s},
              {"store_mb", result.store_bytes / 1'000'000},
              {"link_mb", result.link_bytes / 1'000'000},
              {"orders", result.orders},
              {"store_calls", result.store_calls},
              {"least_serving", result.min_serving_share},
              {"decision_cpu_s", result.decision_seconds}};
}

int Run() {
  Json report = {{"seed", FLAGS_seed},
                 {"cores", std::thread::hardware_concurrency()},
                 {"link_rate", FLAGS_link_rate},
                 {"store_rate", FLAGS_store_rate},
                 {"replica_rate", FLAGS_replica_rate},
                 {"swap_ms", FLAGS_swap_ms},
                 {"live_floor", FLAGS_live_floor},
                 {"target_s", FLAGS_target_s},
                 {"rollouts", Json::array()}};
  std::cout << "seed " << FLAGS_seed << ", cores "
            << std::thread::hardware_concurrency() << ", link "
            << FLAGS_link_rate << " B/s, store " << FLAGS_store_rate
            << " B/s, replica " << FLAGS_replica_rate << " B/s\n"
            << "replicas  MB  fan-out  seconds (pull + spread)  link MB  store "
               "MB  KV calls  least serving  CPU s  target\n";
  for (const FleetSize& size : kSizes) {
    for (const std::uint64_t bytes : kVersionBytes) {
      for (const std::uint32_t fan_out : kFanOuts) {
        const Json row = RunOne(size, bytes, fan_out);
        const bool met = row["over_target_s"].get<double>() <= 0;
        std::cout << row["replicas"] << "  " << row["version_mb"] << "  "
                  << fan_out << "  " << row["seconds"] << " (" << row["pull_s"]
                  << " + " << row["spread_s"] << ")  " << row["link_mb"] << "  "
                  << row["store_mb"] << "  " << row["store_calls"] << "  "
                  << row["least_serving"] << "  " << row["decision_cpu_s"]
                  << "  " << (met ? "met" : "missed by ")
                  << (met ? "" : row["over_target_s"].dump()) << "\n";
        report["rollouts"].push_back(row);
      }
    }
  }
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures weight rollouts under a model of engines");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::Run();
}
