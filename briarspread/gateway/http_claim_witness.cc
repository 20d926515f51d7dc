#include "briarspread/gateway/http_claim_witness.h"

namespace briarspread {
namespace {

constexpr int kHttpOk = 200;

WitnessAnswer AnswerOf(WitnessOutcome outcome) {
  WitnessAnswer answer;
  answer.outcome = outcome;
  return answer;
}

}  // namespace

HttpClaimWitness::HttpClaimWitness(const PeerDirectory& peers,
                                   UpstreamClient& client, milliseconds timeout)
    : peers_(peers), client_(client), timeout_(timeout) {}

WitnessAnswer HttpClaimWitness::Send(const InstanceId& standby,
                                     const WitnessBatch& batch) {
  const auto address = peers_.Find(standby);
  if (!address.has_value()) return AnswerOf(WitnessOutcome::kNoAnswer);
  UpstreamRequest request;
  request.endpoint = address->endpoint;
  request.path = kWitnessPath;
  request.body = ToJson(batch);
  request.connect_timeout = timeout_;
  request.timeout = timeout_;
  peers_.Sign(request);
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.refused) return AnswerOf(WitnessOutcome::kProcessDead);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return AnswerOf(WitnessOutcome::kNoAnswer);
  }
  const auto answer = ParseWitnessAnswer(outcome.body);
  return IsOk(answer) ? ValueOf(answer) : AnswerOf(WitnessOutcome::kNoAnswer);
}

}  // namespace briarspread
