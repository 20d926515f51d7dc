// admission_bench: measures the latency and missed deadlines of live requests
// and the throughput of rollouts while trainers fill the engines, with the
// admission queue and with a FIFO queue. Prints text, or JSON with --json.

#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "bench/admission_bench/load_model.h"

DEFINE_uint64(seed, 20261204, "seed of all random draws");
DEFINE_bool(json, false, "print JSON");

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

Json RunOne(const std::string& name, double load, Policy& policy) {
  LoadSettings settings;
  settings.load = load;
  LoadModel model(FLAGS_seed, settings, policy);
  const LoadResult result = model.Run();
  return {{"policy", name},
          {"load", load},
          {"live", result.live},
          {"live_p50_ms", result.live_p50_ms},
          {"live_p99_ms", result.live_p99_ms},
          {"live_max_ms", result.live_max_ms},
          {"live_missed", result.live_missed},
          {"live_refused", result.live_refused},
          {"rollout_refusals", result.rollout_refusals},
          {"rollouts_per_s", result.rollouts_per_s},
          {"taken_on_return", result.taken_on_return}};
}

Json RunAllPolicies() {
  Json rows = Json::array();
  const std::uint32_t slots = LoadSettings{}.slots;
  for (const double load : {0.7, 1.0, 1.5}) {
    FifoPolicy fifo(slots);
    rows.push_back(RunOne("first come first served", load, fifo));
  }
  for (const double reserve : {0.2, 0.3, 0.4}) {
    const auto rollout_slots =
        static_cast<std::uint32_t>((1.0 - reserve) * slots);
    char name[32];
    std::snprintf(name, sizeof(name), "admission, reserve %.1f", reserve);
    for (const double load : {0.7, 1.0, 1.5}) {
      AdmissionPolicy admission({slots, rollout_slots});
      rows.push_back(RunOne(name, load, admission));
    }
  }
  return rows;
}

int Main() {
  Json report = {{"seed", FLAGS_seed},
                 {"cores", std::thread::hardware_concurrency()},
                 {"rows", RunAllPolicies()}};
  if (FLAGS_json) {
    std::printf("%s\n", report.dump(2).c_str());
    return 0;
  }
  std::printf("seed %s, cores %s\n", report["seed"].dump().c_str(),
              report["cores"].dump().c_str());
  for (const Json& row : report["rows"]) {
    std::printf(
        "%-24s load %.1f live n %llu p50 %.0f p99 %.0f max %.0f ms missed %llu "
        "refused %llu; rollouts %.2f/s refusals %llu taken on return %.3f\n",
        row["policy"].get<std::string>().c_str(), row["load"].get<double>(),
        row["live"].get<unsigned long long>(), row["live_p50_ms"].get<double>(),
        row["live_p99_ms"].get<double>(), row["live_max_ms"].get<double>(),
        row["live_missed"].get<unsigned long long>(),
        row["live_refused"].get<unsigned long long>(),
        row["rollouts_per_s"].get<double>(),
        row["rollout_refusals"].get<unsigned long long>(),
        row["taken_on_return"].get<double>());
  }
  return 0;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("admission_bench [--json] [--seed=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::Main();
}
