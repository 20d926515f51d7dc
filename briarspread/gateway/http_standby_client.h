#ifndef BRIARSPREAD_GATEWAY_HTTP_STANDBY_CLIENT_H_
#define BRIARSPREAD_GATEWAY_HTTP_STANDBY_CLIENT_H_

#include "briarspread/contracts/standby_client.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/gateway/peer_directory.h"

namespace briarspread {

/// The path at which an instance accepts batches of claims.
inline constexpr char kClaimBatchPath[] = "/peer/v1/witness";

/// Sends batches of claims to standbys over HTTP. Thread-safe.
class HttpStandbyClient final : public StandbyClient {
 public:
  /// Preconditions: references outlive this object; `timeout` is well below the
  /// takeover lease.
  HttpStandbyClient(const PeerDirectory& peers, UpstreamClient& client,
                    milliseconds timeout);

  ClaimBatchReply Send(const InstanceId& standby,
                       const ClaimBatch& batch) override;

 private:
  const PeerDirectory& peers_;
  UpstreamClient& client_;
  const milliseconds timeout_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_HTTP_STANDBY_CLIENT_H_
