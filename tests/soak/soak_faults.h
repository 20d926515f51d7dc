#ifndef TESTS_SOAK_SOAK_FAULTS_H_
#define TESTS_SOAK_SOAK_FAULTS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "programs/scenario/process_table.h"
#include "tests/soak/loopback_proxy.h"
#include "tests/soak/soak_replica.h"

namespace briarspread::soak {

/// Objects into which faults are injected.
struct SoakTargets {
  ProcessTable& processes;
  /// Proxies between each edge and the store, and in front of each replica.
  std::vector<std::unique_ptr<LoopbackProxy>>& store_links;
  std::vector<std::unique_ptr<LoopbackProxy>>& replica_links;
  std::vector<std::unique_ptr<SoakReplica>>& replicas;
  platform::StoreStandIn& store;
};

/// Injects faults at random times. Several can be active at once, and each ends
/// after a random time. Used on the loop's thread only.
class SoakFaults final {
 public:
  SoakFaults(asio::io_context& loop, RandomSource& random,
             const SoakTargets& targets);

  void Start() { ScheduleNext(); }
  /// Stops injecting faults. `done` is called when all active faults have
  /// ended.
  void Stop(std::function<void()> done);
  /// Returns the number of faults injected so far, by kind.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  void ScheduleNext();
  void InjectFault();
  void SignalEdge(const std::string& kind, int signal_number);
  void FreezeEdge();
  void FaultStore();
  void FaultLink();
  void CrashReplica();
  void MakeReplicaIll();
  void OverwriteEntry();
  SoakReplica& RandomReplica();
  void ChangeConfiguration();
  /// Calls `end` after a random time between `least` and `most`.
  void ScheduleEnd(milliseconds least, milliseconds most,
                   std::function<void()> end);
  std::string RandomEdge();

  asio::io_context& loop_;
  RandomSource& random_;
  SoakTargets targets_;
  LoopTimer timer_;
  std::map<std::string, std::uint64_t> counts_;
  /// Number of active faults.
  int active_ = 0;
  bool is_stopping_ = false;
  std::function<void()> on_stopped_;
  std::uint64_t configuration_ = 1;
};

/// Returns the JSON text of a configuration with the routes of the soak test.
/// `timeout_ms` is the timeout of each route in milliseconds.
std::string SoakConfiguration(std::uint64_t version, std::uint64_t timeout_ms);

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_SOAK_FAULTS_H_
