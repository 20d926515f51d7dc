#ifndef BRIARSPREAD_BATCH_ENGINE_LOAD_EXCHANGE_H_
#define BRIARSPREAD_BATCH_ENGINE_LOAD_EXCHANGE_H_

#include <functional>
#include <string>
#include <vector>

#include "briarspread/batch/engine_load_board.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/upstream_directory.h"

namespace briarspread::batch {

/// Settings of the exchange.
struct EngineLoadExchangeSettings {
  /// How often a change is told.
  milliseconds interval{100};
  /// How often loads are told though they are unchanged.
  milliseconds refresh{800};
};

/// Tells the instances that run jobs what this one runs at each engine. Only
/// they are told, so that the cost grows with the trainers and not with the
/// instances. Loop's thread only.
class EngineLoadExchange final {
 public:
  /// The instances to tell.
  using Listeners = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/engine-loads";

  /// Precondition: references outlive this object.
  EngineLoadExchange(asio::io_context& loop,
                     const forward::UpstreamDirectory& directory,
                     PeerClient& peers, const InstanceId& self,
                     Listeners listeners, const Clock& clock,
                     const EngineLoadExchangeSettings& settings);

  void Start();

 private:
  void Tick();
  EngineLoads OwnLoads() const;

  const forward::UpstreamDirectory& directory_;
  PeerClient& peers_;
  const InstanceId self_;
  const Listeners listeners_;
  const Clock& clock_;
  const EngineLoadExchangeSettings settings_;
  LoopTimer timer_;
  EngineLoads told_;
  TimePoint told_at_{};
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_LOAD_EXCHANGE_H_
