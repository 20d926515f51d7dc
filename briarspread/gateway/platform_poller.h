#ifndef BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_
#define BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "briarspread/core/key_value_store.h"
#include "briarspread/gateway/control_state.h"

namespace briarspread {

/// Settings of `PlatformPoller`.
struct PlatformPollerSettings {
  /// How often the list, the rules and the loads are read.
  milliseconds interval{1000};
};

/// Reads the rules and publishes them. One thread of its own.
class PlatformPoller {
 public:
  /// Precondition: all arguments outlive this object.
  PlatformPoller(const PlatformPollerSettings& settings, KeyValueStore& store,
                 ControlState& state);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  /// Starts the thread.
  void Start();
  /// Ends it.
  void Stop();

 private:
  void Run();
  void PollRules();

  const PlatformPollerSettings settings_;
  KeyValueStore& store_;
  ControlState& state_;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_PLATFORM_POLLER_H_
