// The owner of a large step freezes while replicas go on with its items, and
// wakes after another machine has taken the step over. Do all machines give the
// results that clients have read?

#include <signal.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

constexpr char kModel[] = "daka510000";
constexpr char kZone[] = "lim-a";
/// How long a disruption lasts if nothing else is said (`fleetbench kinds`).
constexpr double kFreezeSeconds = 5;
/// `StableMs` and `SettleMs`.
constexpr double kStableSeconds = 4;
constexpr double kSettleSeconds = 1;
constexpr double kRunSeconds = 30;

std::string OwnerOf(Store& store, const std::string& job) {
  const Json record =
      Json::from_cbor(store.Get("job-records/" + job), true, false);
  return record.is_object() ? record.value("owner", "") : "";
}

/// Reads the first page of the job's list at a machine. Returns the number of
/// its results; nothing if the answer was not 200.
std::optional<std::size_t> ReadList(const Node& node, const std::string& job) {
  const auto answer =
      Call(node.frontend(), "GET", "/briarspread/lots/" + job + "?After=0",
           ClientHeaders(""), "", Now() + 2.5);
  if (!answer.has_value() || answer->status != 200) return std::nullopt;
  const Json page = Json::parse(answer->body, nullptr, false);
  if (!page.is_object()) return std::nullopt;
  return page.at("Results").size();
}

/// Freezes the job's owner; returns it once it runs again.
Node* FreezeOwner(Deployment& deployment, const std::string& job) {
  Node* owner = deployment.FindEdge(OwnerOf(deployment.store(), job));
  if (owner == nullptr) deployment.CannotRun("the owner is not known");
  owner->Signal(SIGSTOP);
  deployment.record().Line("froze " + owner->name());
  SleepFor(kFreezeSeconds);
  owner->Signal(SIGCONT);
  deployment.record().Line("woke " + owner->name() + "; owner in the store: " +
                           OwnerOf(deployment.store(), job));
  return owner;
}

void PlayCase(Deployment& deployment) {
  deployment.MakeStore(MakeConfiguration(7, {kModel}));
  for (int i = 0; i < 4; ++i) {
    ReplicaSpec engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.service = kEngineService;
    engine.zone = kZone;
    engine.models = {kModel};
    engine.event_s = 0.05;
    engine.event_bytes = 240;
    deployment.AddReplica(engine);
  }
  deployment.StartNodes({{"edge-lim-a-1", kZone, "lim"},
                         {"edge-lim-a-2", kZone, "lim"},
                         {"edge-lim-a-3", kZone, "lim"},
                         {"storage-lim-a-1", kZone, "lim", "storage"}});
  SleepFor(2);
  JobSpec job;
  job.id = "7c41e09b52d6a310";
  job.model = kModel;
  // 64 items of 146 events of 240 bytes, the largest of the site file.
  job.groups = 16;
  job.events_per_item = 146;
  const auto statuses = SubmitJob(deployment, kZone, job.id,
                                  MakeJob(job).dump(), 0, 2, Now() + 10);
  if (statuses.back() != 202) deployment.CannotRun("the job was not accepted");
  const double submitted = Now();
  std::map<const Node*, double> in_touch_from;
  SleepUntil(submitted + 2);
  if (deployment.has_trouble()) {
    const Node* frozen = FreezeOwner(deployment, job.id);
    in_touch_from[frozen] = Now() + kStableSeconds;
  }
  // Clients read the list from its start, at every machine that the platform
  // sends them to.
  double read_at = 0;
  std::size_t most = 0;
  std::map<std::string, int> empty;
  while (Now() < submitted + kRunSeconds) {
    for (Node* node : deployment.edges()) {
      if (!deployment.ingress().IsReady(node)) continue;
      const double sent = Now();
      const auto results = ReadList(*node, job.id);
      if (!results.has_value()) continue;
      deployment.record().Line("read at " + node->name() + ": " +
                               std::to_string(*results) + " results");
      if (*results > 0 && read_at == 0) read_at = Now();
      most = std::max(most, *results);
      const bool is_settled = read_at > 0 && sent > read_at + kSettleSeconds;
      const bool is_lost = *results == 0 && is_settled;
      if (is_lost && sent > in_touch_from[node]) ++empty[node->name()];
    }
    SleepFor(0.5);
  }
  std::string seen = std::to_string(most) +
                     " results read at position 0 on; reads that found nothing "
                     "there later, at machines in touch:";
  for (const auto& [name, n] : empty) {
    seen += " " + std::to_string(n) + " at " + name;
  }
  if (empty.empty()) seen += " none";
  deployment.Finish(empty.empty() ? 0 : 1,
                    (empty.empty() ? "LOST held: " : "LOST broken: ") + seen);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
