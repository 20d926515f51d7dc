// routing_bench: measures the duration of routing decisions, the herd effect of
// lagging load reports, and how subset plans cover a fleet. Prints text, or
// JSON with --json.

#include <gflags/gflags.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/routing_bench/decision_bench.h"
#include "bench/routing_bench/herd_bench.h"
#include "bench/routing_bench/subset_bench.h"

DEFINE_uint64(seed, 20261204, "seed of all random draws");
DEFINE_bool(json, false, "print JSON");
DEFINE_int32(replicas, 12000, "replicas of the large fleet");
DEFINE_int32(instances, 410, "instances of the large fleet");
DEFINE_string(only, "", "run one part: decision, herd or subset");

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

bool IsWanted(const std::string& part) {
  return FLAGS_only.empty() || FLAGS_only == part;
}

Json DecisionPart() {
  Json rows = Json::array();
  for (const DecisionResult& result :
       RunDecisionBench(FLAGS_seed, FLAGS_replicas)) {
    rows.push_back({{"scene", result.name},
                    {"p50_us", result.p50_us},
                    {"p99_us", result.p99_us},
                    {"max_us", result.max_us},
                    {"mean_us", result.mean_us},
                    {"allocations", result.allocations},
                    {"chosen", result.chosen}});
  }
  return rows;
}

Json HerdRows(const HerdSettings& settings) {
  Json rows = Json::array();
  for (const HerdResult& result : RunHerdBench(FLAGS_seed, settings)) {
    rows.push_back({{"instances", settings.instances},
                    {"replicas", settings.replicas},
                    {"load", settings.load},
                    {"router", result.router},
                    {"requests", result.requests},
                    {"mean_wait_ms", result.mean_wait_ms},
                    {"p50_wait_ms", result.p50_wait_ms},
                    {"p99_wait_ms", result.p99_wait_ms},
                    {"max_wait_ms", result.max_wait_ms},
                    {"max_imbalance", result.max_imbalance},
                    {"mean_imbalance", result.mean_imbalance}});
  }
  return rows;
}

Json HerdPart() {
  Json rows = Json::array();
  HerdSettings small;
  small.duration_s = 600;
  HerdSettings large;
  large.instances = FLAGS_instances;
  large.replicas = FLAGS_replicas;
  large.duration_s = 8;
  for (const HerdSettings& settings : {small, large}) {
    for (const Json& row : HerdRows(settings)) rows.push_back(row);
  }
  return rows;
}

Json SubsetRow(int instances, int replicas) {
  const SubsetResult result = RunSubsetBench(instances, replicas);
  return {{"instances", instances},
          {"replicas", replicas},
          {"least_instances", result.least_instances},
          {"most_instances", result.most_instances},
          {"least_upstreams", result.least_upstreams},
          {"mean_upstreams", result.mean_upstreams},
          {"most_upstreams", result.most_upstreams},
          {"zone_imbalance", result.zone_imbalance},
          {"least_after_zone_loss", result.least_after_zone_loss},
          {"moved_by_zone_loss", result.moved_by_zone_loss},
          {"moved_by_instance_loss", result.moved_by_instance_loss},
          {"plan_ms", result.plan_ms}};
}

void PrintText(const Json& report) {
  for (const auto& [key, value] : report.items()) {
    if (!value.is_array()) {
      std::printf("%s: %s\n", key.c_str(), value.dump().c_str());
      continue;
    }
    std::printf("\n%s\n", key.c_str());
    for (const Json& row : value) {
      std::printf(" ");
      for (const auto& [name, cell] : row.items()) {
        const std::string text = cell.is_number_float()
                                     ? std::to_string(cell.get<double>())
                                 : cell.is_string() ? cell.get<std::string>()
                                                    : cell.dump();
        std::printf(" %s=%s", name.c_str(), text.c_str());
      }
      std::printf("\n");
    }
  }
}

int Main() {
  Json report = {{"seed", FLAGS_seed},
                 {"cores", std::thread::hardware_concurrency()}};
  if (IsWanted("decision")) report["decisions"] = DecisionPart();
  if (IsWanted("herd")) report["herd"] = HerdPart();
  if (IsWanted("subset")) {
    report["subsets"] = {SubsetRow(7, 9),
                         SubsetRow(FLAGS_instances, FLAGS_replicas)};
  }
  if (FLAGS_json) {
    std::printf("%s\n", report.dump(2).c_str());
  } else {
    PrintText(report);
  }
  return 0;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "routing_bench [--json] [--only=PART] [--seed=N] [--replicas=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::Main();
}
