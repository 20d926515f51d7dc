// A replica truncates the answer to an item that can never be done, and leaves
// the connection open. Do callers still get their answers?

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

constexpr char kModel[] = "daka510000";
constexpr char kZone[] = "lim-a";
constexpr std::size_t kClientsPerEdge = 10;
constexpr int kMaxJobs = 15;
constexpr double kRunSeconds = 75;
/// `garble` spoils 0.02 of a replica's answers: one after 49 others.
constexpr std::size_t kAnswersBefore = 49;
/// LOST allows so many.
constexpr int kAllowed = 3;

/// What clients with kept connections saw.
class Callers {
 public:
  explicit Callers(Deployment& deployment) : deployment_(deployment) {}

  void Start() {
    for (std::size_t e = 0; e < deployment_.edges().size(); ++e) {
      for (std::size_t k = 0; k < kClientsPerEdge; ++k) {
        threads_.emplace_back([this, e, k] { Send(e, k); });
      }
    }
  }
  void Stop() {
    is_stopping_ = true;
    for (auto& thread : threads_) thread.join();
  }
  /// Ids of requests whose connection ended without an answer, by edge.
  std::map<std::string, std::vector<std::string>> unanswered() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return unanswered_;
  }
  int answered() const { return answered_.load(); }

 private:
  void Send(std::size_t edge, std::size_t client) {
    std::mt19937 random(static_cast<unsigned>(edge * 100 + client));
    std::uniform_real_distribution<> pause(0, 0.06);
    std::size_t n = 0;
    while (!is_stopping_) {
      Node* node = deployment_.edges()[edge];
      if (!deployment_.ingress().IsReady(node)) {
        SleepFor(0.2);
        continue;
      }
      const auto connection = Connect(node->frontend(), Now() + 1);
      if (connection == nullptr) {
        SleepFor(0.2);
        continue;
      }
      bool is_kept = true;
      while (is_kept && !is_stopping_) {
        const std::string id = "c" + std::to_string(edge) + "-" +
                               std::to_string(client) + "-" +
                               std::to_string(n++);
        HeaderLines headers = ClientHeaders(id);
        headers.Add("X-Deadline-Ms", "4000");
        connection->Send(FormatRequest(
            "POST", std::string(kPlainPrefix) + "quote/" + id, headers, "q"));
        const double deadline = Now() + 4.5;
        const auto answer = connection->ReadResponse(deadline);
        if (answer.has_value()) {
          ++answered_;
          is_kept = answer->headers.Get("Connection") != "close";
        } else {
          is_kept = false;
          if (Now() < deadline) {
            deployment_.record().Line("connection of " + node->name() +
                                      " ended without an answer to " + id);
            const std::lock_guard<std::mutex> lock(mutex_);
            unanswered_[node->name()].push_back(id);
          }
        }
        SleepFor(pause(random));
      }
    }
  }

  Deployment& deployment_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> unanswered_;
  std::vector<std::thread> threads_;
};

/// The item of each job that can never be done.
bool IsImpossible(const std::string& item) { return item.ends_with("0005"); }

/// Makes the engine answer impossible items with 422. A faulty engine truncates
/// one such answer, after `kAnswersBefore` others: less than `Content-Length`
/// bytes come, and then nothing.
void AnswerImpossible(Deployment& deployment, Replica& engine, bool is_faulty,
                      std::atomic<bool>& has_truncated) {
  engine.SetHook([&deployment, &engine, is_faulty, &has_truncated](
                     Connection& connection,
                     const RequestHead& head) -> std::optional<bool> {
    const std::string id = head.headers.Get("X-Attempt-Id");
    if (!IsImpossible(id)) return std::nullopt;
    if (!connection.ReadBody(head.headers, Now() + 5)) return false;
    engine.RecordRun(head, 1, "");
    const std::string body = "{\"error\":\"the prompt cannot be read\"}";
    const bool is_due = is_faulty && engine.runs().size() > kAnswersBefore;
    if (!is_due || has_truncated.exchange(true)) {
      deployment.record().Line(engine.spec().id + " answers 422 to " + id);
      return connection.SendResponse(422, engine.AnswerHeaders(head), body);
    }
    deployment.record().Line(engine.spec().id +
                             " truncates its answer 422 to " + id);
    std::string out = "HTTP/1.1 422 Unprocessable\r\n";
    const HeaderLines headers = engine.AnswerHeaders(head);
    for (const auto& [name, value] : headers.lines()) {
      out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    connection.Send(out + body.substr(0, 10));
    while (!connection.IsClosedByPeer()) SleepFor(0.05);
    return false;
  });
}

void PlayCase(Deployment& deployment) {
  deployment.MakeStore(MakeConfiguration(7, {kModel}));
  std::atomic<bool> has_truncated{!deployment.has_trouble()};
  for (int i = 0; i < 3; ++i) {
    ReplicaSpec engine;
    engine.id = "i-7f3a91c" + std::to_string(i);
    engine.service = kEngineService;
    engine.zone = kZone;
    engine.models = {kModel};
    Replica& replica = deployment.AddReplica(engine);
    AnswerImpossible(deployment, replica, i == 0, has_truncated);
  }
  std::vector<Replica*> services;
  for (int i = 0; i < 3; ++i) {
    ReplicaSpec service;
    service.id = "i-02d9e6b" + std::to_string(i);
    service.service = kPlainService;
    service.zone = kZone;
    service.work_s = 0.1;
    services.push_back(&deployment.AddReplica(service));
  }
  deployment.StartNodes({{"edge-lim-a-1", kZone, "lim"},
                         {"edge-lim-a-2", kZone, "lim"},
                         {"edge-lim-a-3", kZone, "lim"},
                         {"storage-lim-a-1", kZone, "lim", "storage"}});
  Callers callers(deployment);
  callers.Start();
  SleepFor(5);
  // The platform starts a process again that ended by itself.
  std::atomic<bool> is_over{false};
  std::atomic<int> own_ends{0};
  std::thread keeper([&] {
    while (!is_over) {
      for (Node* node : deployment.edges()) {
        if (node->IsRunning()) continue;
        ++own_ends;
        deployment.record().Line("process of " + node->name() +
                                 " ended by itself: " + node->LastEnd());
        SleepFor(0.5);
        node->Start();
      }
      SleepFor(0.02);
    }
  });
  double spoiled_at = 0;
  for (int k = 0; k < kMaxJobs && Now() < kRunSeconds; ++k) {
    JobSpec job;
    job.id = "7c41e09b52d600" + std::to_string(10 + k);
    job.model = kModel;
    job.step = static_cast<std::uint64_t>(k);
    job.groups = 16;
    job.events_per_item = 15;
    SubmitJob(deployment, kZone, job.id, MakeJob(job).dump(), 0, 3, Now() + 6);
    SleepFor(4);
    if (deployment.has_trouble() && has_truncated && spoiled_at == 0) {
      spoiled_at = Now();
    }
    const bool is_seen = spoiled_at > 0 && Now() > spoiled_at + 6;
    if (is_seen || (!deployment.has_trouble() && k == 5)) break;
  }
  callers.Stop();
  is_over = true;
  keeper.join();
  if (deployment.has_trouble() && !has_truncated) {
    deployment.CannotRun("the faulty replica got no item to fail");
  }
  std::set<std::string> passed_on;
  for (Replica* service : services) {
    for (const auto& run : service->runs()) passed_on.insert(run.id);
  }
  int worst = 0;
  std::string where;
  for (const auto& [edge, ids] : callers.unanswered()) {
    const auto n = static_cast<int>(std::count_if(
        ids.begin(), ids.end(),
        [&passed_on](const auto& id) { return passed_on.contains(id); }));
    if (n > worst) where = edge;
    worst = std::max(worst, n);
  }
  const std::string seen =
      std::to_string(callers.answered()) + " requests answered, " +
      std::to_string(worst) +
      " passed on to sound replicas and unanswered at one machine " + where +
      ", " + std::to_string(own_ends.load()) + " processes ended by themselves";
  const bool is_broken = worst > kAllowed;
  deployment.Finish(is_broken ? 1 : 0,
                    (is_broken ? "LOST broken: " : "LOST held: ") + seen);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
