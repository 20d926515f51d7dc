// rules_bench measures, by a model in simulated time, the time from an accepted
// change of the rules until it is in force on all instances, and the resulting
// load of the store. It also measures the costs of snapshot intervals.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench/rules_bench/compaction_trial.h"
#include "bench/rules_bench/fleet_model.h"

DEFINE_uint64(seed, 20261204, "seeds the model");
DEFINE_int32(changes, 200, "changes in each run of the model");
DEFINE_string(json, "", "file for the results as JSON; empty for none");

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kCompactionRules = 1000;
constexpr std::size_t kCompactionChanges = 1024;

FleetModelSettings SmallFleet() {
  FleetModelSettings settings;
  settings.seed = FLAGS_seed;
  settings.changes = FLAGS_changes;
  return settings;
}

FleetModelSettings LargeFleet() {
  FleetModelSettings settings = SmallFleet();
  settings.instances = 410;
  settings.zones = 20;
  settings.regions = 9;
  return settings;
}

std::vector<FleetModelSettings> Cases(const std::string& name,
                                      const FleetModelSettings& usual) {
  std::vector<FleetModelSettings> cases(6, usual);
  cases[0].name = name + ", usual";
  cases[1].name = name + ", store 500 ms slow";
  cases[1].store_delay = milliseconds(500);
  cases[2].name = name + ", half the events dropped";
  cases[2].dropped_events = 0.5;
  cases[3].name = name + ", 20 changes a second";
  cases[3].change_interval = milliseconds(50);
  cases[4].name = name + ", store out after accept";
  cases[4].outage = seconds(30);
  cases[4].change_interval = seconds(60);
  cases[4].changes /= 4;
  cases[5].name = name + ", out, digests only";
  cases[5].outage = seconds(30);
  cases[5].change_interval = seconds(60);
  cases[5].changes /= 4;
  cases[5].announce_count = 0;
  return cases;
}

void PrintRow(const std::string& name, const FleetModelResult& result) {
  std::printf("%-34s %5d %8.0f %8.0f %8.0f %5d ", name.c_str(), result.watchers,
              result.p50_ms, result.p99_ms, result.max_ms, result.unfinished);
  std::printf("%9.1f %8.2f %8.1f %7llu %4d\n", result.calls_per_idle_minute,
              result.calls_per_change, result.calls_per_second,
              static_cast<unsigned long long>(result.most_calls_in_a_second),
              result.reversals);
  std::fflush(stdout);
}

Json JsonOf(const FleetModelSettings& settings,
            const FleetModelResult& result) {
  return {{"case", settings.name},
          {"instances", settings.instances},
          {"changes", settings.changes},
          {"watchers", result.watchers},
          {"p50_ms", result.p50_ms},
          {"p99_ms", result.p99_ms},
          {"max_ms", result.max_ms},
          {"unfinished", result.unfinished},
          {"calls_per_idle_minute", result.calls_per_idle_minute},
          {"calls_per_change", result.calls_per_change},
          {"calls_per_second", result.calls_per_second},
          {"most_calls_in_a_second", result.most_calls_in_a_second},
          {"reversals", result.reversals}};
}

Json RunModels() {
  std::printf("%-34s %5s %8s %8s %8s %5s ", "fleet", "watch", "p50 ms",
              "p99 ms", "max ms", "open");
  std::printf("%9s %8s %8s %7s %4s\n", "idle/min", "/change", "mean/s",
              "most/s", "back");
  std::vector<FleetModelSettings> cases = Cases("7 instances", SmallFleet());
  for (FleetModelSettings& large : Cases("410 instances", LargeFleet())) {
    cases.push_back(std::move(large));
  }
  Json rows = Json::array();
  for (const FleetModelSettings& settings : cases) {
    const FleetModelResult result = RunFleetModel(settings);
    PrintRow(settings.name, result);
    rows.push_back(JsonOf(settings, result));
  }
  return rows;
}

Json RunTrials() {
  Json rows = Json::array();
  std::printf("\n%zu rules, %zu changes of one line\n", kCompactionRules,
              kCompactionChanges);
  std::printf("%8s %13s %10s %10s %12s %14s %12s\n", "interval", "cold read ms",
              "longest", "follow us", "watch bytes", "written bytes", "writes");
  for (const std::size_t interval : {1, 4, 16, 64, 256, 1024}) {
    const CompactionResult result = RunCompactionTrial(
        interval, kCompactionRules, kCompactionChanges, FLAGS_seed);
    std::printf("%8zu %13.2f %10.2f %10.0f %12.0f %14.0f %12.2f\n", interval,
                result.cold_read_ms, result.longest_cold_read_ms,
                result.follow_us, result.watch_bytes, result.written_bytes,
                result.writes);
    rows.push_back({{"interval", interval},
                    {"rules", result.rules},
                    {"text_bytes", result.text_bytes},
                    {"cold_read_ms", result.cold_read_ms},
                    {"longest_cold_read_ms", result.longest_cold_read_ms},
                    {"follow_us", result.follow_us},
                    {"watch_bytes", result.watch_bytes},
                    {"written_bytes", result.written_bytes},
                    {"writes", result.writes}});
  }
  return rows;
}

int Run() {
  const unsigned cores = std::thread::hardware_concurrency();
  std::printf("seed %llu, %u cores\n",
              static_cast<unsigned long long>(FLAGS_seed), cores);
  Json report{{"seed", FLAGS_seed}, {"cores", cores}};
  report["distribution"] = RunModels();
  report["compaction"] = RunTrials();
  if (FLAGS_json.empty()) return 0;
  std::ofstream out(FLAGS_json);
  constexpr int kIndent = 2;
  out << report.dump(kIndent) << "\n";
  return out ? 0 : 1;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the distribution of the rules");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::Run();
}
