// The store goes down while it accepts a batch job, whose client is then
// refused at every attempt. Later the machines are restarted in turn. Does an
// item of the refused job run?

#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

constexpr char kModel[] = "daka510000";
constexpr char kZone[] = "lim-a";
/// The sheet's largest `platform_down`.
constexpr double kDownSeconds = 4.5;
/// The sheet's client's attempts: the first and its retries.
constexpr std::size_t kAttempts = 2;
constexpr double kGraceSeconds = 8;

/// Takes the store down when it has executed the write that accepts the job:
/// that call's connection is reset, and each further call gets 503.
void GoDownAtAcceptance(Deployment& deployment, const std::string& job,
                        std::atomic<double>& down_since) {
  deployment.store().SetFault([&deployment, &down_since,
                               job](const StoreCall& call) {
    if (down_since.load() > 0) {
      return Now() < down_since.load() + kDownSeconds ? StoreFault::kRefuse
                                                      : StoreFault::kNone;
    }
    if (!call.Puts("job-records/" + job)) return StoreFault::kNone;
    down_since = Now();
    deployment.record().Line("store: executes the write of " + call.caller +
                             " that accepts job " + job + ", and goes down");
    return StoreFault::kReset;
  });
}

std::vector<Run> RunsOf(Deployment& deployment, const JobSpec& job) {
  std::vector<Run> found;
  for (const auto& replica : deployment.replicas()) {
    for (const Run& run : replica->runs()) {
      if (run.id.rfind(job.id, 0) == 0) found.push_back(run);
    }
  }
  return found;
}

/// Stops and starts the machines in turn, as the platform does.
void RestartInTurn(Deployment& deployment) {
  for (Node* node : deployment.edges()) {
    node->Signal(SIGTERM);
    deployment.record().Line("SIGTERM to " + node->name());
    if (!node->AwaitEnd(Now() + kGraceSeconds)) {
      node->Signal(SIGKILL);
      deployment.record().Line("SIGKILL to " + node->name());
      node->AwaitEnd(Now() + 2);
    }
    deployment.record().Line(node->name() + " ended: " + node->LastEnd());
    node->Start();
    SleepFor(1.3);
    if (!deployment.ingress().AwaitAll(Now() + 10)) {
      deployment.CannotRun("a restarted edge is not ready");
    }
  }
}

JobSpec MakeSpec(int step) {
  JobSpec job;
  job.id = "7c41e09b52d6a3" + std::to_string(10 + step);
  job.model = kModel;
  job.step = static_cast<std::uint64_t>(step);
  return job;
}

void PlayCase(Deployment& deployment) {
  deployment.MakeStore(MakeConfiguration(7, {kModel}));
  for (int i = 0; i < 3; ++i) {
    ReplicaSpec engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.service = kEngineService;
    engine.zone = kZone;
    engine.models = {kModel};
    deployment.AddReplica(engine);
  }
  deployment.StartNodes({{"edge-lim-a-1", kZone, "lim"},
                         {"edge-lim-a-2", kZone, "lim"},
                         {"edge-lim-a-3", kZone, "lim"},
                         {"storage-lim-a-1", kZone, "lim", "storage"}});
  SleepFor(2);
  const JobSpec first = MakeSpec(0);
  const auto of_first =
      SubmitJob(deployment, kZone, first.id, MakeJob(first).dump(), 0,
                kAttempts, Now() + 12);
  if (of_first.back() != 202) deployment.CannotRun("no job was accepted");
  SleepFor(3);

  const JobSpec refused = MakeSpec(1);
  std::atomic<double> down_since{0};
  if (deployment.has_trouble()) {
    GoDownAtAcceptance(deployment, refused.id, down_since);
  }
  const auto statuses =
      SubmitJob(deployment, kZone, refused.id, MakeJob(refused).dump(), 1,
                kAttempts, Now() + 12);
  const bool is_refused =
      std::all_of(statuses.begin(), statuses.end(), [](int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
      });
  SleepFor(kDownSeconds + 2);
  const auto runs_before = RunsOf(deployment, refused).size();
  deployment.record().Line("the store answers again; runs of job " +
                           refused.id + ": " + std::to_string(runs_before));
  if (deployment.has_trouble()) RestartInTurn(deployment);
  SleepFor(8);
  const auto runs = RunsOf(deployment, refused);
  std::string seen = "attempts were answered";
  for (const int status : statuses) seen += " " + std::to_string(status);
  seen += "; runs of items: " + std::to_string(runs_before) +
          " before the restarts, " + std::to_string(runs.size()) + " in all";
  const bool is_broken = is_refused && !runs.empty();
  deployment.Finish(is_broken ? 1 : 0,
                    (is_broken ? "REFUSED broken: " : "REFUSED held: ") + seen);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
