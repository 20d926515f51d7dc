#include "briarspread/forward/suspect_exchange.h"

#include <glog/logging.h>

#include <utility>

namespace briarspread::forward {
namespace {

/// Timeout of a call to the instance that grants a trial.
constexpr milliseconds kTrialTimeout{500};

}  // namespace

SuspectExchange::SuspectExchange(asio::io_context& loop, SuspectTable& table,
                                 PeerClient& peers, RandomSource& random,
                                 NoticeExchange::PeerListFunction list_peers,
                                 FindGranter find_granter,
                                 const NoticeExchangeSettings& settings)
    : table_(table),
      peers_(peers),
      find_granter_(std::move(find_granter)),
      exchange_(loop, *this, "suspects", peers, random, std::move(list_peers),
                settings) {
  table_.SetOnUnpublished([this] { exchange_.SchedulePublish(); });
}

// --- Evidence

std::string SuspectExchange::EncodeAll() const { return ToJson(table_.All()); }

std::string SuspectExchange::TakeUnpublished() {
  const SuspectDigest digest = table_.TakeUnpublished();
  return digest.empty() ? std::string() : ToJson(digest);
}

bool SuspectExchange::Merge(const std::string& body) {
  const auto digest = ParseSuspectDigest(body);
  if (!IsOk(digest)) return false;
  table_.Merge(ValueOf(digest));
  return true;
}

bool SuspectExchange::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path == kTrialPath) {
    AnswerTrial(request.body, *responder);
    return true;
  }
  return exchange_.TryAnswer(request, responder);
}

// --- Trials

void SuspectExchange::RequestTrial(Fingerprint request, Done done) {
  const std::optional<Endpoint> granter = find_granter_(request);
  if (!granter.has_value()) {
    done(table_.StartTrial(request));
    return;
  }
  PeerCall call;
  call.method = "POST";
  call.target = kTrialPath;
  call.body = std::to_string(request.value());
  call.timeout = kTrialTimeout;
  peers_.Call(*granter, std::move(call),
              [done = std::move(done)](const Result<proxy::Response>& result) {
                if (!IsOk(result)) {
                  LOG(INFO) << "event=trial_not_asked reason=\""
                            << ErrorOf(result).message << "\"";
                }
                done(IsOk(result) && ValueOf(result).head.status == 200);
              });
}

void SuspectExchange::AnswerTrial(const std::string& body,
                                  proxy::Responder& responder) {
  const auto request = proxy::ParseNumber(body);
  if (!request.has_value()) {
    responder.Send(proxy::MakeResponse(400, "{\"error\":\"bad request\"}"));
    return;
  }
  const bool is_granted = table_.StartTrial(Fingerprint(*request));
  responder.Send(proxy::MakeResponse(is_granted ? 200 : 409, "{}"));
}

}  // namespace briarspread::forward
