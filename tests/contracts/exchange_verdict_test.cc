#include "briarspread/contracts/exchange_verdict.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

Verdict VerdictAt(ExchangeStage stage, int status = 0) {
  ExchangeOutcome outcome;
  outcome.stage = stage;
  outcome.status = status;
  return VerdictOf(outcome);
}

TEST_CASE("the verdict is not-run only before a connection is established") {
  REQUIRE(VerdictAt(ExchangeStage::kBeforeConnect) == Verdict::kNotRun);
  REQUIRE(VerdictAt(ExchangeStage::kConnecting) == Verdict::kNotRun);
  REQUIRE(VerdictAt(ExchangeStage::kSending) == Verdict::kMayHaveRun);
  REQUIRE(VerdictAt(ExchangeStage::kSent) == Verdict::kMayHaveRun);
}

TEST_CASE("a truncated response may have run whatever its status") {
  for (const int status : {200, 302, 404, 429, 500, 503}) {
    REQUIRE(VerdictAt(ExchangeStage::kAnswering, status) ==
            Verdict::kMayHaveRun);
  }
}

TEST_CASE("the status of a complete response decides the verdict") {
  for (const int status : {200, 201, 204, 302, 400, 404, 409, 499}) {
    REQUIRE(VerdictAt(ExchangeStage::kEnded, status) == Verdict::kAnswered);
  }
  for (const int status : {429, 503}) {
    REQUIRE(VerdictAt(ExchangeStage::kEnded, status) == Verdict::kNotRun);
  }
  for (const int status : {0, 100, 500, 501, 502, 504, 599}) {
    REQUIRE(VerdictAt(ExchangeStage::kEnded, status) == Verdict::kMayHaveRun);
  }
}

}  // namespace
}  // namespace briarspread
