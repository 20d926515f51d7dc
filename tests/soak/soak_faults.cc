#include "tests/soak/soak_faults.h"

#include <signal.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread::soak {
namespace {

using Json = nlohmann::json;

/// Minimum pause between two faults and the range of the random addition, in
/// milliseconds.
constexpr std::int64_t kLeastPauseMs = 200;
constexpr std::int64_t kPauseSpreadMs = 1200;

Json RouteOf(const std::string& prefix, const std::string& type,
             const std::string& service, std::uint64_t timeout_ms) {
  return {{"Host", "h"},        {"Prefix", prefix}, {"Type", type},
          {"Service", service}, {"MaxAttempts", 3}, {"TimeoutMs", timeout_ms},
          {"DueMs", 8000},      {"ItemTtlS", 120},  {"LatencyGoalMs", 400}};
}

}  // namespace

std::string SoakConfiguration(std::uint64_t version, std::uint64_t timeout_ms) {
  Json routes = Json::array();
  routes.push_back(RouteOf("/safe/", "safe", "desk", timeout_ms));
  routes.push_back(RouteOf("/once/", "unsafe", "desk", timeout_ms));
  routes.push_back(RouteOf("/roll0/", "rollout", "llm", timeout_ms));
  routes.push_back(RouteOf("/roll1/", "rollout", "llm", timeout_ms));
  const Json models = {{{"Name", "m0"}}, {{"Name", "m1"}}};
  Json accounts = Json::array();
  for (const char* account : kSoakAccounts) {
    accounts.push_back({{"Name", account}, {"ApiKeys", {SoakKeyOf(account)}}});
  }
  return Json{{"Version", version},
              {"Tenants", std::move(accounts)},
              {"Routes", std::move(routes)},
              {"Services",
               {{{"Name", "desk"}},
                {{"Name", "llm"}, {"Engine", {{"Models", models}}}}}}}
      .dump();
}

SoakFaults::SoakFaults(asio::io_context& loop, RandomSource& random,
                       const SoakTargets& targets)
    : loop_(loop), random_(random), targets_(targets), timer_(loop) {}

void SoakFaults::ScheduleNext() {
  const auto pause = milliseconds(
      kLeastPauseMs + static_cast<std::int64_t>(random_.Below(kPauseSpreadMs)));
  timer_.After(pause, [this] {
    InjectFault();
    ScheduleNext();
  });
}

void SoakFaults::Stop(std::function<void()> done) {
  is_stopping_ = true;
  timer_.Cancel();
  on_stopped_ = std::move(done);
  if (active_ == 0) on_stopped_();
}

void SoakFaults::ScheduleEnd(milliseconds least, milliseconds most,
                             std::function<void()> end) {
  ++active_;
  const auto spread = static_cast<std::uint64_t>((most - least).count());
  const auto timer = std::make_shared<LoopTimer>(loop_);
  timer->After(
      least + milliseconds(static_cast<std::int64_t>(random_.Below(spread))),
      [this, timer, end = std::move(end)] {
        end();
        if (--active_ == 0 && is_stopping_) on_stopped_();
      });
}

void SoakFaults::InjectFault() {
  constexpr std::uint64_t kKinds = 10;
  switch (random_.Below(kKinds)) {
    case 0:
      SignalEdge("kill", SIGKILL);
      break;
    case 1:
      SignalEdge("stop", SIGTERM);
      break;
    case 2:
      SignalEdge("hangup", SIGHUP);
      break;
    case 3:
      FreezeEdge();
      break;
    case 4:
      FaultStore();
      break;
    case 5:
      FaultLink();
      break;
    case 6:
      CrashReplica();
      break;
    case 7:
      MakeReplicaIll();
      break;
    case 8:
      OverwriteEntry();
      break;
    default:
      ChangeConfiguration();
  }
}

std::string SoakFaults::RandomEdge() {
  targets_.processes.Reload();
  const auto edges = targets_.processes.FindByPrefix("edge-");
  return edges[random_.Below(edges.size())].name;
}

void SoakFaults::SignalEdge(const std::string& kind, int signal_number) {
  // scripts/soak.sh restarts processes that have ended.
  if (IsOk(targets_.processes.Signal(RandomEdge(), signal_number))) {
    ++counts_[kind];
  }
}

void SoakFaults::FreezeEdge() {
  const std::string edge = RandomEdge();
  if (!IsOk(targets_.processes.Signal(edge, SIGSTOP))) return;
  ++counts_["freeze"];
  ScheduleEnd(milliseconds(300), milliseconds(4000), [this, edge] {
    // Ignores a failure: the process may have ended in the meantime.
    targets_.processes.Signal(edge, SIGCONT);
  });
}

void SoakFaults::FaultStore() {
  using Fault = briarspread::testing::AsyncMemoryStore::Fault;
  static const std::vector<Fault> faults = {Fault::kRefuse, Fault::kLoseAnswer,
                                            Fault::kLoseCall};
  ++counts_["store"];
  if (random_.Below(4) == 0) {
    targets_.store.memory().CompactHistory();
    return;
  }
  if (random_.Below(2) == 0) {
    targets_.store.SetRefusalStatus(503);
  } else {
    targets_.store.memory().SetFault(faults[random_.Below(faults.size())]);
  }
  ScheduleEnd(milliseconds(300), milliseconds(3000), [this] {
    targets_.store.SetRefusalStatus(0);
    targets_.store.memory().SetFault(Fault::kNone);
  });
}

void SoakFaults::FaultLink() {
  auto& links =
      random_.Below(2) == 0 ? targets_.store_links : targets_.replica_links;
  LoopbackProxy& link = *links[random_.Below(links.size())];
  ++counts_["link"];
  const std::uint64_t how = random_.Below(5);
  if (how == 0) {
    link.ResetAll();
    return;
  }
  LinkFault fault;
  if (how == 1) fault.delay = milliseconds(100);
  if (how == 2) fault.drops_requests = true;
  if (how == 3) fault.drops_responses = true;
  if (how == 4) {
    fault.is_flooding = true;
    ++counts_["endless"];
  }
  link.SetFault(fault);
  ScheduleEnd(milliseconds(300), milliseconds(3000), [&link] {
    link.SetFault(LinkFault{});
    // Discarded bytes leave the byte streams inconsistent.
    link.ResetAll();
  });
}

SoakReplica& SoakFaults::RandomReplica() {
  return *targets_.replicas[random_.Below(targets_.replicas.size())];
}

void SoakFaults::CrashReplica() {
  ++counts_["replica"];
  RandomReplica().Crash(
      milliseconds(500 + static_cast<std::int64_t>(random_.Below(2000))));
}

void SoakFaults::MakeReplicaIll() {
  SoakReplica& replica = RandomReplica();
  ++counts_["ill"];
  replica.SetIll(true);
  ScheduleEnd(milliseconds(300), milliseconds(3000),
              [&replica] { replica.SetIll(false); });
}

void SoakFaults::OverwriteEntry() {
  SoakReplica& replica = RandomReplica();
  ++counts_["entry"];
  replica.OverwriteEntry("unknown-" + std::to_string(random_.Below(3)));
  ScheduleEnd(milliseconds(100), milliseconds(1200),
              [&replica] { replica.RestoreEntry(); });
}

void SoakFaults::ChangeConfiguration() {
  ++counts_["configuration"];
  configuration_ += 1 + random_.Below(3);
  targets_.store.memory().Write(
      "op/config",
      SoakConfiguration(configuration_, 1500 + random_.Below(1000)));
}

}  // namespace briarspread::soak
