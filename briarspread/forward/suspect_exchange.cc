#include "briarspread/forward/suspect_exchange.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread::forward {

SuspectExchange::SuspectExchange(asio::io_context& loop, CrashGuard& guard,
                                 PeerClient& peers, Listeners listeners,
                                 const SuspectExchangeSettings& settings)
    : guard_(guard),
      peers_(peers),
      listeners_(std::move(listeners)),
      settings_(settings),
      timer_(loop) {
  guard_.SetOnDeath([this] {
    if (!timer_.is_set()) timer_.After(settings_.gather, [this] { Tell(); });
  });
}

void SuspectExchange::Tell() {
  const std::string body = ToJson(guard_.Digest());
  for (const Endpoint& peer : listeners_()) {
    PeerCall call;
    call.method = "POST";
    call.target = kPath;
    call.body = body;
    peers_.Call(peer, std::move(call),
                [peer](const Result<proxy::Response>& result) {
                  // The next death tells of this one again.
                  if (IsOk(result)) return;
                  LOG(INFO) << "event=suspects_not_told peer=" << peer.host
                            << " reason=\"" << ErrorOf(result).message << "\"";
                });
  }
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
