#include "briarspread/gateway/http_standby_client.h"

namespace briarspread {
namespace {

constexpr int kHttpOk = 200;

/// Returns an answer for a batch that the standby did not answer itself. Sets
/// the sequence of `batch`; otherwise the home would take this for the answer
/// to another batch and keep waiting.
ClaimBatchReply AnswerOf(const ClaimBatch& batch, ClaimBatchOutcome outcome) {
  ClaimBatchReply answer;
  answer.outcome = outcome;
  answer.sequence = batch.sequence;
  return answer;
}

}  // namespace

HttpStandbyClient::HttpStandbyClient(const PeerDirectory& peers,
                                     UpstreamClient& client,
                                     milliseconds timeout)
    : peers_(peers), client_(client), timeout_(timeout) {}

ClaimBatchReply HttpStandbyClient::Send(const InstanceId& standby,
                                        const ClaimBatch& batch) {
  const auto address = peers_.Find(standby);
  if (!address.has_value()) return AnswerOf(batch, ClaimBatchOutcome::kNoReply);
  UpstreamRequest request;
  request.endpoint = address->endpoint;
  request.path = kClaimBatchPath;
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
