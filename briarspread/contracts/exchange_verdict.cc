#include "briarspread/contracts/exchange_verdict.h"

namespace briarspread {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

}  // namespace

Verdict VerdictOf(const ExchangeOutcome& outcome) {
  if (outcome.stage <= ExchangeStage::kConnecting) return Verdict::kNotRun;
  if (outcome.stage != ExchangeStage::kEnded) return Verdict::kMayHaveRun;
  if (outcome.status == kHttpTooManyRequests ||
      outcome.status == kHttpUnavailable) {
    return Verdict::kNotRun;
  }
  const bool is_answer =
      outcome.status >= kHttpOk && outcome.status < kHttpServerError;
  return is_answer ? Verdict::kAnswered : Verdict::kMayHaveRun;
}

}  // namespace briarspread
