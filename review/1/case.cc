// An owner of batch jobs is killed while the store loses the answers of some
// writes. Are all items of its jobs placed again?

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

// Limits of the pages: `FaultTolerance`, `StableMs` and the sheet's largest
// `platform_lost` (x = 0.35 for 4.5 s).
constexpr double kLostShare = 0.35;
constexpr double kLostSeconds = 4.5;
constexpr double kRestartSeconds = 3.5;
constexpr double kStableSeconds = 4;
/// LOST: an item has been at no replica for so long, in steady state.
constexpr double kIdleSeconds = 5;
/// Time of a step, from its submission.
constexpr double kStepSeconds = 24;
constexpr std::uint64_t kRounds = 4;
constexpr char kModel[] = "daka510000";
constexpr char kTrainerZone[] = "aqp-a";
constexpr std::size_t kTrainer = 0;

struct Step {
  JobSpec job;
  double submitted = 0;
};

std::string OwnerOf(Store& store, const std::string& job) {
  const Json record =
      Json::from_cbor(store.Get("job-records/" + job), true, false);
  return record.is_object() ? record.value("owner", "") : "";
}

/// Reads the job's list as its trainer and as other clients of its region do.
void ReadAsClients(Deployment& deployment, const Step& step) {
  std::mt19937 random(std::random_device{}());
  for (int i = 0; Now() < step.submitted + kStepSeconds; ++i) {
    const bool is_trainer = i % 4 != 0;
    const std::size_t client = is_trainer ? kTrainer : random() % 100;
    Node* node = deployment.ingress().NodeFor(kTrainerZone, client);
    HeaderLines headers = ClientHeaders("");
    headers.Add("X-Wait-Ms", "300");
    const auto answer = Call(node->frontend(), "GET",
                             "/briarspread/lots/" + step.job.id + "?After=0",
                             headers, "", Now() + 2.5);
    std::string text = "none";
    if (answer.has_value()) {
      text = std::to_string(answer->status);
      const Json page = Json::parse(answer->body, nullptr, false);
      if (page.is_object() && page.contains("Results")) {
        text += " results=" + std::to_string(page.at("Results").size());
      }
    }
    deployment.record().Line("read job " + step.job.id + " at " + node->name() +
                             ": " + text);
    SleepFor(0.5);
  }
}

/// Returns the items of the job that no replica has finished and that have been
/// at none for `kIdleSeconds` of steady state.
std::vector<std::string> IdleItems(Deployment& deployment, const Step& step,
                                   double steady_since) {
  std::vector<std::string> idle;
  for (std::size_t i = 0; i < step.job.groups * step.job.items_per_group; ++i) {
    const std::string id = ItemId(step.job, i);
    bool is_finished = false;
    double last = steady_since;
    for (const auto& replica : deployment.replicas()) {
      is_finished = is_finished || replica->finished().contains(id);
      last = std::max(last, replica->LastAt(id));
    }
    if (!is_finished && Now() - last >= kIdleSeconds) idle.push_back(id);
  }
  return idle;
}

bool HasBegun(Deployment& deployment, const Step& step) {
  for (const auto& replica : deployment.replicas()) {
    if (replica->LastAt(ItemId(step.job, 0)) > 0) return true;
  }
  return false;
}

/// Kills the owner, loses answers of writes, and starts the owner again.
/// Returns when both disruptions have ended.
double Disrupt(Deployment& deployment, Node& owner) {
  auto random = std::make_shared<std::mt19937>(std::random_device{}());
  deployment.store().SetFault([&deployment, random](const StoreCall& call) {
    if (!call.is_write()) return StoreFault::kNone;
    const bool is_lost =
        std::uniform_real_distribution<>(0, 1)(*random) < kLostShare;
    if (!is_lost) return StoreFault::kNone;
    deployment.record().Line("store: answer to a write of " + call.caller +
                             " lost" +
                             (call.puts.empty() ? "" : ": " + call.puts[0]));
    return StoreFault::kLoseAnswer;
  });
  const double began = Now();
  owner.Signal(SIGKILL);
  deployment.record().Line("killed " + owner.name());
  owner.AwaitEnd(Now() + 5);
  SleepUntil(began + kRestartSeconds);
  owner.Start();
  deployment.record().Line("started " + owner.name());
  SleepUntil(began + kLostSeconds);
  deployment.store().SetFault(nullptr);
  deployment.record().Line("store: answers all writes again");
  return Now();
}

void EndJob(Deployment& deployment, const Step& step) {
  Node* node = deployment.ingress().NodeFor(kTrainerZone, kTrainer);
  const auto answer =
      Call(node->frontend(), "DELETE", "/briarspread/lots/" + step.job.id,
           ClientHeaders(""), "", Now() + 3);
  deployment.record().Line(
      "end job " + step.job.id + ": " +
      (answer.has_value() ? std::to_string(answer->status) : "none"));
}

void PlayRound(Deployment& deployment, std::uint64_t round) {
  constexpr std::uint64_t kOpenJobs = 3;
  std::vector<Step> steps;
  std::vector<std::thread> readers;
  readers.reserve(kOpenJobs);
  for (std::uint64_t k = 0; k < kOpenJobs; ++k) {
    Step step;
    step.job.id = "7c41e09b52d600" + std::to_string(round * kOpenJobs + k + 10);
    step.job.model = kModel;
    step.job.step = round * kOpenJobs + k;
    step.job.groups = 8;
    step.job.items_per_group = 2;
    step.job.events_per_item = 60;
    const auto statuses =
        SubmitJob(deployment, kTrainerZone, step.job.id,
                  MakeJob(step.job).dump(), kTrainer, 3, Now() + 10);
    if (statuses.back() != 202) deployment.CannotRun("a job was not accepted");
    step.submitted = Now();
    steps.push_back(step);
  }
  while (!HasBegun(deployment, steps.back())) SleepFor(0.05);
  for (const Step& step : steps) {
    readers.emplace_back(
        [&deployment, step] { ReadAsClients(deployment, step); });
  }
  SleepFor(0.5);
  double steady_since = Now();
  Node* owner =
      deployment.FindEdge(OwnerOf(deployment.store(), steps.back().job.id));
  if (owner == nullptr) deployment.CannotRun("the owner is not known");
  if (deployment.has_trouble()) {
    steady_since = Disrupt(deployment, *owner) + kStableSeconds;
  }
  for (auto& reader : readers) reader.join();
  std::size_t active = 0;
  std::size_t slots = 0;
  for (const auto& replica : deployment.replicas()) {
    active += replica->active();
    slots += replica->spec().slots;
  }
  for (const Step& step : steps) {
    const auto idle = IdleItems(deployment, step, steady_since);
    deployment.record().Line(
        "step of job " + step.job.id + " runs out of time: idle items " +
        std::to_string(idle.size()) + ", owner in the store " +
        OwnerOf(deployment.store(), step.job.id) + ", slots taken " +
        std::to_string(active) + " of " + std::to_string(slots));
    if (!idle.empty() && active * 2 < slots) {
      deployment.Finish(
          1, "LOST broken: the step of job " + step.job.id +
                 " ran out of time with " + std::to_string(idle.size()) +
                 " items that had been at no replica for 5 s of steady state");
    }
  }
  for (const Step& step : steps) EndJob(deployment, step);
}

void PlayCase(Deployment& deployment) {
  deployment.MakeStore(MakeConfiguration(7, {kModel}));
  for (int i = 0; i < 4; ++i) {
    ReplicaSpec engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.service = kEngineService;
    engine.zone = i < 2 ? "lim-a" : kTrainerZone;
    engine.models = {kModel};
    engine.event_s = 0.05;
    deployment.AddReplica(engine);
  }
  // The store stands in `lim`; 20 ms one way between the regions.
  constexpr double kFar = 0.04;
  deployment.StartNodes({{"edge-lim-a-1", "lim-a", "lim"},
                         {"edge-lim-a-2", "lim-a", "lim"},
                         {"edge-aqp-a-1", kTrainerZone, "aqp", "edge", kFar},
                         {"edge-aqp-a-2", kTrainerZone, "aqp", "edge", kFar},
                         {"storage-lim-a-1", "lim-a", "lim", "storage"}});
  SleepFor(2);
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    PlayRound(deployment, round);
  }
  deployment.Finish(0, "LOST held");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
