#include "briarspread/gateway/http_peer_rules.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/gateway/peer_seal.h"
#include "briarspread/rules/rule_document.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
/// Maximum size of the body of an offer. JSON escaping can double the size of
/// the text.
constexpr std::size_t kMaxOfferBytes = 2 * kMaxRulesBytes + 1024;

Error FetchError(const InstanceId& peer, const std::string& reason) {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "rules of " + peer.value() + ": " + reason};
}

}  // namespace

std::string FormatOffer(const RuleText& rules, Revision above) {
  Json json{{"revision", rules.revision.value()}};
  if (rules.revision > above) json["text"] = rules.text;
  return json.dump();
}

Result<RuleText> ParseOffer(const std::string& body) {
  const Error malformed{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                        "malformed offer of rules"};
  if (body.size() > kMaxOfferBytes) return malformed;
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned()) {
    return malformed;
  }
  RuleText rules;
  rules.revision = Revision(json["revision"].get<std::uint64_t>());
  if (!json.contains("text")) return rules;
  if (!json["text"].is_string()) return malformed;
  rules.text = json["text"].get<std::string>();
  return rules;
}

HttpPeerRules::HttpPeerRules(HttpPeerRulesSettings settings,
                             UpstreamClient& client)
    : settings_(std::move(settings)), client_(client) {}

Result<RuleText> HttpPeerRules::Fetch(const InstanceId& peer, Revision above) {
  UpstreamRequest request;
  {
    std::lock_guard lock(mutex_);
    const auto it = endpoints_.find(peer);
    if (it == endpoints_.end()) return FetchError(peer, "not listed");
    request.endpoint = it->second;
  }
  request.method = "GET";
  request.path =
      std::string(kPeerRulesPath) + "?above=" + std::to_string(above.value());
  request.connect_timeout = settings_.timeout;
  request.timeout = settings_.timeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded) {
    return FetchError(peer, outcome.failure);
  }
  if (outcome.status != kHttpOk) {
    return FetchError(peer, "status " + std::to_string(outcome.status));
  }
  const std::string seal = FindHeader(outcome.headers, kSealHeader);
  if (!settings_.peer_key.empty() &&
      !IsSealOf(settings_.peer_key, outcome.body, seal)) {
    return Error{ErrorCode::kUnauthenticated, Verdict::kNotRun,
                 "rules of " + peer.value() + ": wrong seal"};
  }
  return ParseOffer(outcome.body);
}

void HttpPeerRules::SetInstances(const std::vector<ListedInstance>& instances) {
  std::map<InstanceId, Endpoint> endpoints;
  for (const ListedInstance& listed : instances) {
    if (listed.kind != InstanceKind::kEntry) continue;
    endpoints[InstanceId(listed.name)] = listed.endpoint;
  }
  std::lock_guard lock(mutex_);
  endpoints_ = std::move(endpoints);
}

}  // namespace briarspread
