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

/// Where an instance offers its rules; takes `?above=REVISION`.
inline constexpr char kPeerRulesPath[] = "/v1/rules";
/// Carries the seal of an offer of rules.
inline constexpr char kSealHeader[] = "Briarspread-Seal";

/// The body of an offer. Its text is left out where its revision is not above
/// `above`. Thread-safe.
std::string FormatOffer(const RuleText& rules, Revision above);

/// Reads an offer. Thread-safe.
Result<RuleText> ParseOffer(const std::string& body);

/// Settings of `HttpPeerRules`.
struct HttpPeerRulesSettings {
  /// How long one call may take.
  milliseconds timeout{1000};
  /// The key that seals offers; empty: offers are not sealed.
  std::string peer_key;
};

/// Asks other instances for their rules by HTTP.
class HttpPeerRules final : public PeerRules {
 public:
  /// Precondition: `client` outlives this object.
  HttpPeerRules(HttpPeerRulesSettings settings, UpstreamClient& client);

  Result<RuleText> Fetch(const InstanceId& peer, Revision above) override;

  /// Tells where the instances listen. Safe to call from any thread.
  void SetInstances(const std::vector<ListedInstance>& instances);

 private:
  /// As given.
  const HttpPeerRulesSettings settings_;
  /// Carries the calls.
  UpstreamClient& client_;
  /// Guards `endpoints_`.
  std::mutex mutex_;
  /// Where each entry instance listens.
  std::map<InstanceId, Endpoint> endpoints_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_HTTP_PEER_RULES_H_
