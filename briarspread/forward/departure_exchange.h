#ifndef BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/upstream_directory.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Settings of the exchange.
struct DepartureExchangeSettings {
  /// Each peer adds so much to the longest time before the others are told, up
  /// to `max_spread`: most instances then hear of a departure from one that
  /// saw it earlier, and do not tell it again.
  milliseconds spread_per_peer{5};
  milliseconds max_spread{1000};
  /// Peers that are asked at a start.
  std::size_t asked_peers = 2;
  /// The longest time that a start waits for their answers.
  milliseconds ask_timeout{250};
};

/// Tells all instances which upstreams have said that they leave, and learns it
/// from them at a start. Nothing is sent while no upstream leaves. Loop's
/// thread only.
class DepartureExchange final {
 public:
  /// The instances to tell, and to ask.
  using Listeners = std::function<std::vector<Endpoint>()>;

  static constexpr char kPath[] = "/v1/departures";

  /// Precondition: references outlive this object.
  DepartureExchange(asio::io_context& loop, UpstreamDirectory& directory,
                    PeerClient& peers, RandomSource& random,
                    Listeners listeners,
                    const DepartureExchangeSettings& settings);

  /// Asks peers what they know, once there are any. To be called when the
  /// instances known change.
  void OnInstancesChanged();
  /// Whether the peers asked at the start have answered, or did not in time.
  bool has_asked() const { return has_asked_; }

  /// Takes a peer's call; false where it is none of this exchange.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void OnDeparture(const UpstreamStart& start);
  void Tell();
  void Ask(const std::vector<Endpoint>& peers);
  void OnAnswer(const Result<proxy::Response>& result);
  bool Take(const std::string& body);

  UpstreamDirectory& directory_;
  PeerClient& peers_;
  RandomSource& random_;
  const Listeners listeners_;
  const DepartureExchangeSettings settings_;
  LoopTimer tell_timer_;
  LoopTimer ask_timer_;
  /// Seen here first, and not told yet.
  std::vector<UpstreamStart> untold_;
  std::size_t awaited_ = 0;
  /// Whether any peer was asked.
  bool was_asked_ = false;
  bool has_asked_ = false;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
