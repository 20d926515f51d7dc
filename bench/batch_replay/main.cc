// batch_replay: simulates a load of batch jobs on simulated engines, under the
// product's scheduling, that of an earlier version, and first come, first
// served. Runs for a few seconds.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/batch_replay/replay_report.h"

DEFINE_uint64(seed, 20261204, "seed of a generated load");
DEFINE_string(load, "", "file of a recorded load; generated where empty");
DEFINE_string(write_load, "", "file that the load is written to");
DEFINE_uint32(trainers, 3, "trainers");
DEFINE_uint32(groups, 16, "groups of a step");
DEFINE_uint32(items, 4, "items of a group");
DEFINE_double(events, 20.3, "mean events of an item");
DEFINE_double(load_factor, 1, "multiplies the groups of each step");
DEFINE_uint32(engines, 9, "engines");
DEFINE_uint32(slots, 12, "requests at once of an engine");
DEFINE_uint32(slow, 0, "engines that are slow for the middle half");
DEFINE_double(slower, 3.5, "how many times slower they are");
DEFINE_uint32(dead, 0, "engines that are dead for the middle half");
DEFINE_string(sweep, "", "parameter to sweep: load_factor, engines or slow");
DEFINE_double(from, 0.5, "first value of the sweep");
DEFINE_double(to, 2, "last value of the sweep");
DEFINE_uint32(points, 7, "points of the sweep");
DEFINE_string(csv, "", "file for the sweep's values");
DEFINE_string(svg, "", "file for the sweep's plot");
DEFINE_bool(json, false, "print JSON");

namespace briarspread::bench {
namespace {

using testing::LoadShape;
using testing::ReplayFleet;
using testing::ReplayLoad;
using testing::ReplayOutcome;

constexpr int kExitUsage = 2;

/// The input of the replays. A sweep changes one of its parameters.
struct Setup {
  LoadShape shape;
  ReplayFleet fleet;
  std::optional<ReplayLoad> recorded;
};

Setup SetupFromFlags() {
  Setup setup;
  setup.shape.seed = FLAGS_seed;
  setup.shape.trainers = FLAGS_trainers;
  setup.shape.groups = FLAGS_groups;
  setup.shape.items_per_group = FLAGS_items;
  setup.shape.mean_events = FLAGS_events;
  setup.shape.load_factor = FLAGS_load_factor;
  setup.shape.slow_engines = FLAGS_slow;
  setup.shape.slowdown = FLAGS_slower;
  setup.shape.dead_engines = FLAGS_dead;
  setup.fleet.engines = FLAGS_engines;
  setup.fleet.engine.slots = FLAGS_slots;
  return setup;
}

ReplayLoad LoadOf(const Setup& setup) {
  return setup.recorded.has_value() ? *setup.recorded
                                    : GenerateLoad(setup.shape);
}

std::vector<ReplayOutcome> RunAllPolicies(const Setup& setup) {
  const ReplayLoad load = LoadOf(setup);
  std::vector<ReplayOutcome> outcomes;
  for (const testing::ReplayPolicy& policy :
       {testing::ReplayPolicy{}, testing::EarlierVersion(),
        testing::FirstComeFirstServed()}) {
    outcomes.push_back(Replay(load, setup.fleet, policy));
  }
  return outcomes;
}

bool Apply(const std::string& parameter, double value, Setup& setup) {
  if (parameter == "load_factor") {
    setup.shape.load_factor = value;
  } else if (parameter == "engines") {
    setup.fleet.engines = static_cast<std::uint32_t>(value);
  } else if (parameter == "slow") {
    setup.shape.slow_engines = static_cast<std::uint32_t>(value);
  } else {
    return false;
  }
  return true;
}

void WriteFile(const std::string& path, const std::string& text) {
  if (!path.empty()) std::ofstream(path) << text << "\n";
}

int Sweep(const Setup& setup) {
  std::vector<SweepPoint> points;
  for (std::uint32_t i = 0; i < FLAGS_points; ++i) {
    const double part =
        FLAGS_points < 2 ? 0 : static_cast<double>(i) / (FLAGS_points - 1);
    Setup point = setup;
    const double value = FLAGS_from + part * (FLAGS_to - FLAGS_from);
    if (!Apply(FLAGS_sweep, value, point)) {
      std::cerr << "batch_replay: --sweep: found '" << FLAGS_sweep
                << "', allowed is load_factor, engines or slow\n";
      return kExitUsage;
    }
    points.push_back({value, RunAllPolicies(point)});
  }
  if (points.empty()) {
    std::cerr << "batch_replay: --points: found 0, allowed is 1 or more\n";
    return kExitUsage;
  }
  std::cout << ToCsv(FLAGS_sweep, points);
  WriteFile(FLAGS_csv, ToCsv(FLAGS_sweep, points));
  WriteFile(FLAGS_svg, ToSvg(FLAGS_sweep, points));
  return 0;
}

bool ReadRecordedLoad(Setup& setup) {
  std::ifstream in(FLAGS_load);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << "batch_replay: --load: " << FLAGS_load << " cannot be read\n";
    return false;
  }
  auto load = testing::ParseLoad(text.str());
  if (!IsOk(load)) {
    std::cerr << "batch_replay: --load: " << FLAGS_load << ": "
              << ErrorOf(load).message << "\n";
    return false;
  }
  setup.recorded = std::move(ValueOf(load));
  return true;
}

int Run() {
  Setup setup = SetupFromFlags();
  if (!FLAGS_load.empty() && !ReadRecordedLoad(setup)) return kExitUsage;
  WriteFile(FLAGS_write_load, FormatLoad(LoadOf(setup)));
  if (!FLAGS_sweep.empty()) return Sweep(setup);
  const auto outcomes = RunAllPolicies(setup);
  std::cout << (FLAGS_json ? ToJson(outcomes) : ToText(outcomes));
  return 0;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "simulates a load of batch jobs under several scheduling policies\n"
      "  batch_replay [--slow=2] [--json]\n"
      "  batch_replay --sweep=load_factor --from=0.5 --to=2 --svg=FILE\n"
      "exit codes: 0 done, 2 bad arguments");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::bench::Run();
}
