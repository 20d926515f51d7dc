#include "briarspread/fleet/peer_broadcast.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread {

void PostToPeers(PeerClient& client, const std::vector<Endpoint>& peers,
                 const std::string& path, const std::string& body) {
  for (const Endpoint& peer : peers) {
    PeerCall call;
    call.method = "POST";
    call.target = path;
    call.body = body;
    client.Call(peer, std::move(call),
                [peer, path](const Result<proxy::Response>& result) {
                  if (IsOk(result)) return;
                  LOG(INFO) << "event=peer_not_told peer=" << peer.host
                            << " path=" << path << " reason=\""
                            << ErrorOf(result).message << "\"";
                });
  }
}

}  // namespace briarspread
