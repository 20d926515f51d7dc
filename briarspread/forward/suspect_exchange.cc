#include "briarspread/forward/suspect_exchange.h"

#include <glog/logging.h>

#include <utility>

#include "briarspread/fleet/peer_broadcast.h"

namespace briarspread::forward {

SuspectExchange::SuspectExchange(asio::io_context& loop, CrashGuard& guard,
                                 PeerClient& peers, PeerListFunction list_peers,
                                 const SuspectExchangeSettings& settings)
    : guard_(guard),
      peers_(peers),
      list_peers_(std::move(list_peers)),
      settings_(settings),
      timer_(loop) {
  guard_.SetOnCrash([this] {
    if (!timer_.is_set()) timer_.After(settings_.delay, [this] { Publish(); });
  });
}

void SuspectExchange::Publish() {
  // A peer that this call does not reach receives the same reports with the
  // next digest.
  PostToPeers(peers_, list_peers_(), kPath, ToJson(guard_.Digest()));
}

bool SuspectExchange::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path != kPath) return false;
  const auto digest = ParseSuspectDigest(request.body);
  if (!IsOk(digest)) {
    LOG(WARNING) << "event=suspects_malformed reason=\""
                 << ErrorOf(digest).message << "\"";
    responder->Send(proxy::MakeResponse(400, "{\"error\":\"bad digest\"}"));
    return true;
  }
  guard_.Merge(ValueOf(digest));
  responder->Send(proxy::MakeResponse(200, "{}"));
  return true;
}

}  // namespace briarspread::forward
