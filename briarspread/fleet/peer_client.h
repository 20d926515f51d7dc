#ifndef BRIARSPREAD_FLEET_PEER_CLIENT_H_
#define BRIARSPREAD_FLEET_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "briarspread/core/result.h"
#include "briarspread/proxy/http_call.h"

namespace briarspread {

/// A call to another instance.
struct PeerCall {
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
  /// Maximum time until the response is complete; zero for no limit.
  milliseconds timeout{1000};
};

/// Calls other instances' peer interfaces. Loop's thread only.
class PeerClient final {
 public:
  /// Receives a complete response of any status, or an error with the verdict
  /// `kNotRun` if no connection could be made, or `kMayHaveRun` if the response
  /// was lost.
  using Done = std::function<void(Result<proxy::Response>)>;

  /// Precondition: `loop` outlives this object.
  explicit PeerClient(asio::io_context& loop);

  /// Starts a call whose response is passed on as it arrives. Precondition:
  /// `listener` lives until the exchange ends, fails or is cancelled.
  std::unique_ptr<proxy::Exchange> Start(const Endpoint& peer, PeerCall call,
                                         proxy::ExchangeListener& listener);
  /// Calls a peer. `done` is called exactly once, from the loop.
  void Call(const Endpoint& peer, PeerCall call, Done done);

 private:
  proxy::ConnectionPool pool_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_PEER_CLIENT_H_
