#ifndef BRIARSPREAD_BATCH_ENGINE_LOAD_PUBLISHER_H_
#define BRIARSPREAD_BATCH_ENGINE_LOAD_PUBLISHER_H_

#include <functional>
#include <string>
#include <vector>

#include "briarspread/batch/peer_engine_loads.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/upstream_directory.h"

namespace briarspread::batch {

/// Settings of `EngineLoadPublisher`.
struct EngineLoadPublisherSettings {
  /// Interval between checks for changed loads, which are sent at once.
  milliseconds interval{100};
  /// Interval at which unchanged loads are sent again, unless they are empty.
  milliseconds refresh{800};
};

/// Sends the load of this instance on each engine to the instances that run
/// jobs. It is sent only to them, so that the cost grows with the number of
/// trainers and not with the number of instances. Loop's thread only.
class EngineLoadPublisher final {
 public:
  /// Returns the peer endpoints that the loads are sent to.
  using Recipients = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/engine-loads";

  /// Precondition: references outlive this object.
  EngineLoadPublisher(asio::io_context& loop,
                      const forward::UpstreamDirectory& directory,
                      PeerClient& peers, const InstanceId& self,
                      Recipients recipients, const Clock& clock,
                      const EngineLoadPublisherSettings& settings);

  void Start();

 private:
  void PublishIfChanged();
  EngineLoads OwnLoads() const;

  const forward::UpstreamDirectory& directory_;
  PeerClient& peers_;
  const InstanceId self_;
  const Recipients recipients_;
  const Clock& clock_;
  const EngineLoadPublisherSettings settings_;
  LoopTimer timer_;
  EngineLoads sent_loads_;
  TimePoint sent_at_{};
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_LOAD_PUBLISHER_H_
