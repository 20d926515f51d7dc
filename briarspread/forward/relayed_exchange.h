#ifndef BRIARSPREAD_FORWARD_RELAYED_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_RELAYED_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/departures.h"
#include "briarspread/forward/relay_peers.h"
#include "briarspread/proxy/exchange.h"

namespace briarspread::forward {

/// Path of the peer interface that relays a request to an upstream. The body is
/// the complete request as it is sent to the upstream.
inline constexpr char kRelayPath[] = "/v1/upstream-exchanges";
/// Header of a peer's response that says what became of the relayed request.
inline constexpr char kRelayOutcomeHeader[] = "Relay-Outcome";
/// Values of that header: the response is the upstream's; the peer does not
/// relay; it does not know this start of the upstream, and in neither case was
/// the request sent; or the word is followed by the names of a fault and of a
/// verdict.
inline constexpr char kRelayAnswered[] = "answered";
inline constexpr char kRelayRefused[] = "refused";
inline constexpr char kRelayUnknownUpstream[] = "unknown";
inline constexpr char kRelayFailed[] = "failed";

/// Returns the value of the outcome header for a failed exchange. Thread-safe.
std::string FormatRelayFailure(const proxy::ExchangeFailure& failure);
/// Parses such a value; a malformed one means that the request may have run.
/// Thread-safe.
proxy::ExchangeFailure ParseRelayFailure(std::string_view text);

/// An exchange with an upstream that another instance carries out. Tries
/// further peers as long as the request was not sent; if none relays, it is
/// left to `Spec::start_direct`. Must be used on the event loop's thread only.
class RelayedExchange final : public proxy::Exchange,
                              public proxy::ExchangeListener {
 public:
  /// Starts the exchange without a peer, with the listener that is given.
  using StartDirect = std::function<std::unique_ptr<proxy::Exchange>(
      proxy::ExchangeRequest, proxy::ExchangeListener&)>;
  /// Called when a peer passed on the head of the upstream's response.
  using OnReached = std::function<void()>;

  struct Spec {
    UpstreamStart upstream;
    proxy::ExchangeRequest request;
    StartDirect start_direct;
    OnReached on_reached;
  };

  /// Precondition: references outlive this object, and the request has bytes.
  RelayedExchange(PeerClient& client, RelayPeers& peers, const Clock& clock,
                  Spec spec, proxy::ExchangeListener& listener);
  ~RelayedExchange() override;

  void Start();
  void Cancel() override;
  void SetPaused(bool is_paused) override;

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  void StartAtNextPeer();
  PeerCall MakeCall() const;
  /// Leaves a peer that has not sent the request, and tries another.
  void LeavePeer();
  void EndAtPeer();

  PeerClient& client_;
  RelayPeers& peers_;
  const Clock& clock_;
  Spec spec_;
  proxy::ExchangeListener& listener_;
  std::unique_ptr<proxy::Exchange> exchange_;
  /// The peer that has the request now; unset if it is sent directly, or the
  /// exchange has ended.
  std::optional<Endpoint> peer_;
  std::vector<Endpoint> tried_;
  TimePoint started_{};
  /// A failure that the peer reported, delivered at the end of its response.
  std::optional<proxy::ExchangeFailure> failure_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_RELAYED_EXCHANGE_H_
