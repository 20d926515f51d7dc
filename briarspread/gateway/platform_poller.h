#ifndef BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_
#define BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarspread/core/instance_list.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/control_state.h"

namespace briarspread {

/// Settings of `PlatformPoller`.
struct PlatformPollerSettings {
  /// How often the list and the loads are read.
  milliseconds interval{1000};
  /// How long an upstream may take to tell its load.
  milliseconds load_timeout{500};
};

/// Reads the platform's instance list and the upstreams' loads, and publishes
/// them. One thread of its own.
class PlatformPoller {
 public:
  /// Takes the instance list each time it was read.
  using ListObserver = std::function<void(const std::vector<ListedInstance>&)>;

  /// Precondition: all arguments outlive this object.
  PlatformPoller(const PlatformPollerSettings& settings, InstanceList& list,
                 UpstreamClient& client, ControlState& state,
                 const Clock& clock, ListObserver on_list);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  /// Starts the thread.
  void Start();
  /// Ends it.
  void Stop();

 private:
  void Run();
  void PollUpstreams();
  void PollLoad(UpstreamView& upstream);

  const PlatformPollerSettings settings_;
  InstanceList& list_;
  UpstreamClient& client_;
  ControlState& state_;
  const Clock& clock_;
  /// Told of each list read.
  const ListObserver on_list_;
  /// Counts by upstream, kept over changes of the list.
  std::map<std::string, std::shared_ptr<UpstreamCounters>> counters_;
  /// The last list that was read.
  std::vector<ListedInstance> listed_;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_
