// Machines are restarted in turn while a large step runs. Are its results
// listed, and does it stay ended once its trainer has ended it?

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

constexpr char kModel[] = "daka510000";
constexpr char kZone[] = "lim-a";
constexpr double kGraceSeconds = 8;
/// Time of a step, as the sheet has it.
constexpr double kStepSeconds = 12;
/// `AckMs` and `CancelMs`.
constexpr double kAckSeconds = 5;
constexpr double kCancelSeconds = 3;
/// `StableMs`, from the start of the restarted machine on.
constexpr double kStableSeconds = 4;

std::string OwnerOf(Store& store, const std::string& job) {
  const Json record =
      Json::from_cbor(store.Get("job-records/" + job), true, false);
  return record.is_object() ? record.value("owner", "") : "";
}

/// Stops and starts the owner of the job, as planned work.
void RestartOwner(Deployment& deployment, const std::string& job) {
  Node* node = deployment.FindEdge(OwnerOf(deployment.store(), job));
  if (node == nullptr) deployment.CannotRun("the owner is not known");
  node->Signal(SIGTERM);
  deployment.record().Line("SIGTERM to " + node->name());
  if (!node->AwaitEnd(Now() + kGraceSeconds)) {
    node->Signal(SIGKILL);
    deployment.record().Line("SIGKILL to " + node->name());
    node->AwaitEnd(Now() + 2);
  }
  deployment.record().Line(node->name() + " ended: " + node->LastEnd());
  node->Start();
}

/// Reads the whole list of the job; returns the number of results.
std::size_t CountResults(Deployment& deployment, const std::string& job) {
  std::size_t position = 0;
  for (int i = 0; i < 40; ++i) {
    Node* node = deployment.ingress().NodeFor(kZone, 0);
    const auto answer =
        Call(node->frontend(), "GET",
             "/briarspread/lots/" + job + "?After=" + std::to_string(position),
             ClientHeaders(""), "", Now() + 2.5);
    if (!answer.has_value() || answer->status != 200) break;
    const Json page = Json::parse(answer->body, nullptr, false);
    if (!page.is_object() || page.at("Results").empty()) break;
    position = page.at("Next").get<std::size_t>();
  }
  return position;
}

/// Ends the job as its trainer does, again and again until it is acknowledged.
/// Returns when the end counts as acknowledged: after `kAckSeconds` of steady
/// state at the latest.
double EndJob(Deployment& deployment, const std::string& job,
              double steady_since) {
  const double first = std::max(Now(), steady_since);
  for (std::size_t n = 0; Now() < first + kAckSeconds; ++n) {
    Node* node = deployment.ingress().NodeFor(kZone, 0, n);
    const auto answer =
        Call(node->frontend(), "DELETE", "/briarspread/lots/" + job,
             ClientHeaders(""), "", Now() + 4);
    const int status = answer.has_value() ? answer->status : 0;
    deployment.record().Line("end job " + job + " at " + node->name() + ": " +
                             std::to_string(status));
    if (status == 200) return Now();
    SleepFor(0.3);
  }
  deployment.record().Line("the end has got no acknowledgement in AckMs");
  return first + kAckSeconds;
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
  std::thread first_restart;
  std::atomic<double> restarted{submitted};
  SleepUntil(submitted + 6);
  if (deployment.has_trouble()) {
    first_restart = std::thread([&] {
      RestartOwner(deployment, job.id);
      restarted = Now();
    });
  }
  std::size_t listed = 0;
  while (Now() < submitted + kStepSeconds) {
    listed = CountResults(deployment, job.id);
    deployment.record().Line("results listed: " + std::to_string(listed));
    SleepFor(1);
  }
  if (first_restart.joinable()) first_restart.join();
  const double acknowledged =
      EndJob(deployment, job.id, restarted + kStableSeconds);
  SleepUntil(acknowledged + kCancelSeconds + 0.5);
  const double from = Now();
  if (deployment.has_trouble()) RestartOwner(deployment, job.id);
  SleepFor(6);
  std::size_t late = 0;
  for (const auto& replica : deployment.replicas()) {
    for (const Run& run : replica->runs()) {
      const bool is_real = run.first_event <= job.events_per_item;
      late += run.time > from && is_real;
    }
  }
  const std::string seen =
      std::to_string(listed) + " of " +
      std::to_string(job.groups * job.items_per_group) +
      " results listed in the step's time; " + std::to_string(late) +
      " items ran later than CancelMs after the end of their job";
  deployment.Finish(late > 0 ? 1 : 0,
                    (late > 0 ? "UNASKED broken: " : "UNASKED held: ") + seen);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
