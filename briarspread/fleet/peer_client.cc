#include "briarspread/fleet/peer_client.h"

#include <utility>

namespace briarspread {
namespace {

/// Returns timeouts short enough that an unreachable peer is detected before
/// the callers' own timeouts expire.
proxy::UpstreamConnectionSettings PeerSettings() {
  proxy::UpstreamConnectionSettings settings;
  settings.connect_timeout = milliseconds(300);
  settings.dead_peer.unacknowledged_timeout = milliseconds(700);
  return settings;
}

proxy::ExchangeRequest MakeRequest(const Endpoint& peer, PeerCall call) {
  proxy::RequestHead head;
  head.method = std::move(call.method);
  head.target = std::move(call.target);
  head.headers.Add("Host", peer.host);
  proxy::ExchangeRequest request;
  request.to = peer;
  request.bytes = proxy::RequestBytes::Make(head, call.body);
  request.is_head_request = head.method == "HEAD";
  request.timeout = call.timeout;
  return request;
}

}  // namespace

PeerClient::PeerClient(asio::io_context& loop) : pool_(loop, PeerSettings()) {}

std::unique_ptr<proxy::Exchange> PeerClient::Start(
    const Endpoint& peer, PeerCall call, proxy::ExchangeListener& listener) {
  return pool_.Start(MakeRequest(peer, std::move(call)), listener);
}

void PeerClient::Call(const Endpoint& peer, PeerCall call, Done done) {
  StartCall(pool_, MakeRequest(peer, std::move(call)),
            [done = std::move(done)](proxy::CallResult result) {
              if (auto* response = std::get_if<proxy::Response>(&result)) {
                done(std::move(*response));
                return;
              }
              const auto& failure = std::get<proxy::ExchangeFailure>(result);
              done(Error{ErrorCode::kUnavailable, failure.verdict,
                         "peer: " + std::string(ToString(failure.fault))});
            });
}

}  // namespace briarspread
