// briarspread-soak: simulates callers, trainers, replicas and the store, and
// injects faults into them and into the edge processes that scripts/soak.sh
// starts. Checks the guarantees of the service during the run.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

#include "tests/soak/soak_faults.h"
#include "tests/soak/soak_trainer.h"

DEFINE_uint64(seed, 1, "seed of the faults");
DEFINE_uint32(seconds, 20, "how long faults come");
DEFINE_uint32(edges, 4, "edge processes");
DEFINE_uint32(base_port, 24000, "first port; see scripts/soak.sh");
DEFINE_string(processes, "", "file of the processes that were started");

namespace briarspread::soak {
namespace {

constexpr int kExitViolation = 1;
/// Offsets from the base port. The edge processes use the ports below 500.
constexpr std::uint32_t kStorePort = 500;
constexpr std::uint32_t kStoreLinks = 510;
constexpr std::uint32_t kReplicas = 600;
constexpr std::uint32_t kReplicaLinks = 700;
constexpr std::uint32_t kModelReplicas = 4;
constexpr std::uint32_t kDeskReplicas = 3;
/// Number of ports reserved for each edge.
constexpr std::uint32_t kPortsOfEdge = 10;
/// Interval at which the store answers watches and expires leases.
constexpr milliseconds kStoreTick{5};
constexpr milliseconds kStartTime{2500};
constexpr milliseconds kSettleTime{7000};
constexpr milliseconds kEndTime{30000};

std::uint16_t Port(std::uint32_t offset) {
  return static_cast<std::uint16_t>(FLAGS_base_port + offset);
}

/// A run of the soak test.
class Soak final {
 public:
  Soak()
      : random_(FLAGS_seed),
        record_(clock_),
        store_(loop_, Port(kStorePort)),
        context_{loop_, clock_, random_, record_, store_},
        processes_(FLAGS_processes, ""),
        caller_(loop_, random_, Edges()),
        live_(loop_, caller_, random_, record_),
        faults_(loop_, random_,
                {processes_, store_links_, replica_links_, replicas_, store_}),
        timer_(loop_),
        tick_(loop_) {
    constexpr std::size_t kPage = 500;
    store_.SetPageSize(kPage);
    store_.memory().Write("op/config", SoakConfiguration(1, 2000));
    for (std::uint32_t i = 0; i < FLAGS_edges; ++i) {
      store_links_.push_back(std::make_unique<LoopbackProxy>(
          loop_, Port(kStoreLinks + i),
          Endpoint{"127.0.0.1", Port(kStorePort)}));
    }
    for (std::uint32_t i = 0; i < kModelReplicas + kDeskReplicas; ++i) {
      AddReplica(i);
    }
    for (std::size_t i = 0; i < 2; ++i) {
      trainers_.push_back(std::make_unique<SoakTrainer>(loop_, clock_, caller_,
                                                        record_, store_, i));
    }
  }

  int Run() {
    last_tick_ = clock_.Now();
    tick_.Every(kStoreTick, [this] {
      record_.RecordOwnLag(clock_.Now() - last_tick_ - kStoreTick);
      last_tick_ = clock_.Now();
      store_.Tick(last_tick_);
    });
    timer_.After(kStartTime, [this] { Begin(); });
    loop_.run();
    Print();
    return record_.violations().empty() ? 0 : kExitViolation;
  }

 private:
  static SoakEdges Edges() {
    SoakEdges edges;
    for (std::uint32_t i = 0; i < FLAGS_edges; ++i) {
      edges.frontends.push_back(
          Endpoint{"127.0.0.1", Port(i * kPortsOfEdge + 1)});
    }
    return edges;
  }

  void AddReplica(std::uint32_t i) {
    ReplicaSettings settings;
    const bool is_model = i < kModelReplicas;
    settings.name = (is_model ? "llm-" : "desk-") + std::to_string(i);
    settings.service = is_model ? "llm" : "desk";
    settings.zone = i % 2 == 0 ? "z1" : "z2";
    settings.port = Port(kReplicas + i);
    settings.registered_port = Port(kReplicaLinks + i);
    replica_links_.push_back(std::make_unique<LoopbackProxy>(
        loop_, settings.registered_port, Endpoint{"127.0.0.1", settings.port}));
    replicas_.push_back(std::make_unique<SoakReplica>(context_, settings));
  }

  void Begin() {
    live_.Start();
    for (const auto& trainer : trainers_) trainer->Start();
    faults_.Start();
    timer_.After(seconds(FLAGS_seconds), [this] {
      faults_.Stop(
          [this] { timer_.After(kSettleTime, [this] { CheckRecovery(); }); });
    });
  }

  /// Called after all faults have ended. Checks that every edge serves requests
  /// again and that no accepted job was lost.
  void CheckRecovery() {
    live_.Stop();
    for (const auto& trainer : trainers_) trainer->Stop();
    for (std::size_t edge = 0; edge < caller_.edge_count(); ++edge) {
      RetryUntilServed(edge, 20);
      for (const std::string& job : record_.AcceptedJobs()) {
        RetryRead(job, edge, 20);
      }
    }
    deadline_ = clock_.Now() + kEndTime;
    AwaitEnd();
  }

  void RetryUntilServed(std::size_t edge, int tries) {
    ++in_flight_;
    live_.SendOnce(edge, [this, edge, tries](bool is_served) {
      --in_flight_;
      if (is_served) return;
      if (tries == 0) {
        record_.Fail("RECOVER", "edge " + std::to_string(edge));
        return;
      }
      ScheduleRetry([this, edge, tries] { RetryUntilServed(edge, tries - 1); });
    });
  }

  void RetryRead(const std::string& job, std::size_t edge, int tries) {
    ++in_flight_;
    trainers_[0]->ReadFromStart(
        job, edge, [this, job, edge, tries](bool is_read) {
          --in_flight_;
          if (is_read) return;
          if (tries == 0) {
            record_.Fail("LOST", "job " + job + " cannot be read");
            return;
          }
          ScheduleRetry(
              [this, job, edge, tries] { RetryRead(job, edge, tries - 1); });
        });
  }

  void ScheduleRetry(std::function<void()> action) {
    constexpr milliseconds kPause{300};
    ++in_flight_;
    const auto timer = std::make_shared<LoopTimer>(loop_);
    timer->After(kPause, [this, timer, action = std::move(action)] {
      --in_flight_;
      action();
    });
  }

  void AwaitEnd() {
    bool is_idle = in_flight_ == 0;
    for (const auto& trainer : trainers_) is_idle &= trainer->is_idle();
    if (!is_idle && clock_.Now() > deadline_) {
      record_.Fail("RECOVER", "a trainer's step did not finish");
      is_idle = true;
    }
    if (is_idle) {
      loop_.stop();
      return;
    }
    timer_.After(milliseconds(50), [this] { AwaitEnd(); });
  }

  void Print() const {
    std::uint64_t steps = 0;
    for (const auto& trainer : trainers_) steps += trainer->steps();
    std::cout << "soak seed " << FLAGS_seed << ": " << record_.checked()
              << " operations checked, " << live_.served() << " of "
              << live_.sent() << " live requests served, " << steps
              << " steps, faults";
    for (const auto& [kind, n] : faults_.counts()) {
      std::cout << " " << kind << " " << n;
    }
    std::cout
        << ", own lag "
        << std::chrono::duration_cast<milliseconds>(record_.own_lag()).count()
        << " ms, " << record_.violations().size() << " violations\n";
  }

  asio::io_context loop_{1};
  SystemClock clock_;
  SeededRandom random_;
  SoakRecord record_;
  platform::StoreStandIn store_;
  ReplicaContext context_;
  ProcessTable processes_;
  std::vector<std::unique_ptr<LoopbackProxy>> store_links_;
  std::vector<std::unique_ptr<LoopbackProxy>> replica_links_;
  std::vector<std::unique_ptr<SoakReplica>> replicas_;
  EdgeCaller caller_;
  LiveCallers live_;
  std::vector<std::unique_ptr<SoakTrainer>> trainers_;
  SoakFaults faults_;
  LoopTimer timer_;
  LoopTimer tick_;
  TimePoint last_tick_{};
  TimePoint deadline_{};
  /// Number of calls and retry pauses in flight after the faults.
  int in_flight_ = 0;
};

}  // namespace
}  // namespace briarspread::soak

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  gflags::SetUsageMessage("faults around real edge processes; see soak.sh");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::soak::Soak().Run();
}
