#ifndef BRIARSPREAD_FLEET_PEER_BROADCAST_H_
#define BRIARSPREAD_FLEET_PEER_BROADCAST_H_

#include <string>
#include <vector>

#include "briarspread/fleet/peer_client.h"

namespace briarspread {

/// Posts `body` to `path` at each peer and returns without waiting for the
/// answers. A call that fails is logged as `event=peer_not_told` and not
/// retried. Loop's thread only. Precondition: `client` outlives the calls.
void PostToPeers(PeerClient& client, const std::vector<Endpoint>& peers,
                 const std::string& path, const std::string& body);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_PEER_BROADCAST_H_
