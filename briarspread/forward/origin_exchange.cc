#include "briarspread/forward/origin_exchange.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/fleet/peer_broadcast.h"

namespace briarspread::forward {
namespace {

using Json = nlohmann::json;

/// Waits for the answers to one query.
struct PendingQuery {
  StreamOrigins::Done done;
  std::size_t outstanding = 0;
};

void OnAnswer(PendingQuery& query, const Result<proxy::Response>& result) {
  --query.outstanding;
  if (query.done == nullptr) return;
  std::optional<std::vector<StreamOrigin>> origins;
  if (IsOk(result) && ValueOf(result).head.status == 200) {
    origins = ParseStreamOrigins(ValueOf(result).body);
  }
  if (!origins.has_value()) {
    LOG(INFO) << "event=origin_not_answered";
  } else if (!origins->empty()) {
    std::exchange(query.done, nullptr)(origins->front().software);
    return;
  }
  if (query.outstanding == 0) std::exchange(query.done, nullptr)(std::nullopt);
}

}  // namespace

std::string EncodeStreamOrigins(const std::vector<StreamOrigin>& origins) {
  Json list = Json::array();
  for (const StreamOrigin& origin : origins) {
    list.push_back({{"attempt", origin.attempt.value()},
                    {"software", origin.software.value()}});
  }
  return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::vector<StreamOrigin>> ParseStreamOrigins(
    const std::string& text) {
  const Json list = Json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  try {
    std::vector<StreamOrigin> origins;
    for (const Json& each : list) {
      origins.push_back(
          {AttemptId(each.at("attempt").get<std::string>()),
           SoftwareVersion(each.at("software").get<std::string>())});
    }
    return origins;
  } catch (const Json::exception&) {
    // Malformed text; the caller logs it.
    return std::nullopt;
  }
}

OriginExchange::OriginExchange(asio::io_context& loop, PeerClient& peers,
                               const Clock& clock, HoldersFunction list_holders,
                               const OriginExchangeSettings& settings)
    : peers_(peers),
      list_holders_(std::move(list_holders)),
      settings_(settings),
      known_(settings.local, clock),
      publish_timer_(loop) {}

void OriginExchange::Record(const AttemptId& attempt,
                            const SoftwareVersion& software) {
  known_.Record(attempt, software);
  for (const Endpoint& holder : list_holders_(attempt)) {
    unpublished_[holder].push_back({attempt, software});
  }
  if (!publish_timer_.is_set()) {
    publish_timer_.After(settings_.delay, [this] { Publish(); });
  }
}

void OriginExchange::Publish() {
  for (const auto& [holder, origins] : std::exchange(unpublished_, {})) {
    PostToPeers(peers_, {holder}, kPath, EncodeStreamOrigins(origins));
  }
}

void OriginExchange::Find(const AttemptId& attempt, Done done) {
  const auto known = known_.Lookup(attempt);
  const std::vector<Endpoint> holders = list_holders_(attempt);
  if (known.has_value() || holders.empty()) {
    done(known);
    return;
  }
  const auto query = std::make_shared<PendingQuery>(
      PendingQuery{std::move(done), holders.size()});
  for (const Endpoint& holder : holders) {
    PeerCall call;
    call.target = std::string(kPath) +
                  "?attempt=" + proxy::EncodeParameter(attempt.value());
    call.timeout = settings_.query_timeout;
    peers_.Call(holder, std::move(call),
                [query](const Result<proxy::Response>& result) {
                  OnAnswer(*query, result);
                });
  }
}

void OriginExchange::AnswerQuery(std::string_view query,
                                 proxy::Responder& responder) const {
  const auto attempt = proxy::FindParameter(query, "attempt");
  if (!attempt.has_value()) {
    responder.Send(proxy::MakeResponse(400, "{\"error\":\"no attempt\"}"));
    return;
  }
  std::vector<StreamOrigin> found;
  const auto software = known_.Lookup(AttemptId(*attempt));
  if (software.has_value()) found.push_back({AttemptId(*attempt), *software});
  responder.Send(proxy::MakeResponse(200, EncodeStreamOrigins(found)));
}

bool OriginExchange::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  const auto target = proxy::SplitTarget(request.head.target);
  if (target.path != kPath) return false;
  if (request.head.method == "GET") {
    AnswerQuery(target.query, *responder);
    return true;
  }
  const auto origins = ParseStreamOrigins(request.body);
  if (!origins.has_value()) {
    LOG(WARNING) << "event=origins_malformed bytes=" << request.body.size();
    responder->Send(proxy::MakeResponse(400, "{\"error\":\"bad list\"}"));
    return true;
  }
  for (const StreamOrigin& origin : *origins) {
    known_.Record(origin.attempt, origin.software);
  }
  responder->Send(proxy::MakeResponse(200, "{}"));
  return true;
}

}  // namespace briarspread::forward
