#include "briarspread/gateway/http_claim_witness.h"

namespace briarspread {
namespace {

constexpr int kHttpOk = 200;

/// What the network made of `batch`. Names its sequence, without which the home
/// would take it for an answer to another batch and wait on.
ClaimBatchReply AnswerOf(const ClaimBatch& batch, ClaimBatchOutcome outcome) {
  ClaimBatchReply answer;
  answer.outcome = outcome;
  answer.sequence = batch.sequence;
  return answer;
}

}  // namespace

HttpClaimWitness::HttpClaimWitness(const PeerDirectory& peers,
                                   UpstreamClient& client, milliseconds timeout)
    : peers_(peers), client_(client), timeout_(timeout) {}

ClaimBatchReply HttpClaimWitness::Send(const InstanceId& standby,
                                       const ClaimBatch& batch) {
  const auto address = peers_.Find(standby);
  if (!address.has_value()) return AnswerOf(batch, ClaimBatchOutcome::kNoReply);
  UpstreamRequest request;
  request.endpoint = address->endpoint;
  request.path = kWitnessPath;
  request.body = ToJson(batch);
  request.connect_timeout = timeout_;
  request.timeout = timeout_;
  peers_.Sign(request);
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.refused) return AnswerOf(batch, ClaimBatchOutcome::kProcessDead);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return AnswerOf(batch, ClaimBatchOutcome::kNoReply);
  }
  const auto answer = ParseClaimBatchReply(outcome.body);
  return IsOk(answer) ? ValueOf(answer)
                      : AnswerOf(batch, ClaimBatchOutcome::kNoReply);
}

}  // namespace briarspread
