#ifndef BRIARSPREAD_GATEWAY_HTTP_PEER_RULES_H_
#define BRIARSPREAD_GATEWAY_HTTP_PEER_RULES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "briarspread/core/upstream.h"
#include "briarspread/core/upstream_client.h"
#include "briarspread/rules/peer_rules.h"

namespace briarspread {

/// The path at which an instance serves its rules; accepts `?above=REVISION`.
inline constexpr char kPeerRulesPath[] = "/v1/rules";
/// The header that carries the seal of an offer of rules.
inline constexpr char kSealHeader[] = "Briarspread-Seal";

/// Formats the body of an offer: a response with the rules of an instance.
/// Omits the text unless the revision is above `above`. Thread-safe.
std::string FormatOffer(const RuleText& rules, Revision above);

/// Parses the body of an offer. Returns `kInvalidArgument` if it is malformed
/// or too large. Thread-safe.
Result<RuleText> ParseOffer(const std::string& body);

/// Settings of `HttpPeerRules`.
struct HttpPeerRulesSettings {
  /// Timeout of one call.
  milliseconds timeout{1000};
  /// The key that seals offers; if empty, offers are not sealed.
  std::string peer_key;
};

/// Fetches the rules of other instances over HTTP. Thread-safe.
class HttpPeerRules final : public PeerRules {
 public:
  /// Precondition: `client` outlives this object.
  HttpPeerRules(HttpPeerRulesSettings settings, UpstreamClient& client);

  Result<RuleText> Fetch(const InstanceId& peer, Revision above) override;

  /// Replaces the endpoints of the entry instances by those of the list.
  /// Thread-safe.
  void SetInstances(const std::vector<ListedInstance>& instances);

 private:
  const HttpPeerRulesSettings settings_;
  UpstreamClient& client_;
  /// Guards `endpoints_`.
  std::mutex mutex_;
  /// The address of each listed entry instance.
  std::map<InstanceId, Endpoint> endpoints_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_HTTP_PEER_RULES_H_
