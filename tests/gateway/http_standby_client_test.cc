#include "briarspread/gateway/http_standby_client.h"

#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"

namespace briarspread {
namespace {

/// Ends each exchange with `next`.
class ScriptedClient final : public UpstreamClient {
 public:
  ExchangeOutcome Exchange(const UpstreamRequest& /*request*/,
                           ResponseReceiver* /*receiver*/) override {
    return next;
  }
  ExchangeOutcome next;
};

ListedInstance MakeStandby() {
  ListedInstance listed;
  listed.name = "b";
  listed.endpoint = {"127.0.0.1", 1};
  return listed;
}

TEST_CASE(
    "an answer without a reply of the standby has the sequence of the batch") {
  testing::ManualClock clock;
  PeerDirectory peers(InstanceId("a"), "0123456789abcdef", clock);
  ScriptedClient client;
  HttpStandbyClient standby_client(peers, client, milliseconds(100));
  ClaimBatch batch;
  batch.sequence = 7;

  // The standby is not listed, so nothing is sent.
  ClaimBatchReply answer = standby_client.Send(InstanceId("b"), batch);
  REQUIRE(answer.outcome == ClaimBatchOutcome::kNoReply);
  REQUIRE(answer.sequence == 7);

  peers.OnList({MakeStandby()});
  SECTION("a refused connection means that the process is dead") {
    client.next.stage = ExchangeStage::kConnecting;
    client.next.refused = true;
    answer = standby_client.Send(InstanceId("b"), batch);
    REQUIRE(answer.outcome == ClaimBatchOutcome::kProcessDead);
  }
  SECTION("an interrupted exchange is no answer") {
    client.next.stage = ExchangeStage::kSent;
    answer = standby_client.Send(InstanceId("b"), batch);
    REQUIRE(answer.outcome == ClaimBatchOutcome::kNoReply);
  }
  SECTION("a malformed body is no answer") {
    client.next.stage = ExchangeStage::kEnded;
    client.next.status = 200;
    client.next.body = "{}";
    answer = standby_client.Send(InstanceId("b"), batch);
    REQUIRE(answer.outcome == ClaimBatchOutcome::kNoReply);
  }
  REQUIRE(answer.sequence == 7);
}

TEST_CASE("only a call signed with the shared key is accepted") {
  testing::ManualClock clock;
  const PeerDirectory peers(InstanceId("a"), "0123456789abcdef", clock);
  UpstreamRequest request;
  request.path = "/peer/v1/witness";
  request.body = "{}";
  peers.Sign(request);
  const std::string signature = request.headers.at(0).value;
  REQUIRE(peers.IsSigned(request.path, request.body, signature));
  REQUIRE_FALSE(peers.IsSigned(request.path, "{ }", signature));
  REQUIRE_FALSE(peers.IsSigned("/peer/v1/other", request.body, signature));
  REQUIRE_FALSE(peers.IsSigned(request.path, request.body, ""));
}

}  // namespace
}  // namespace briarspread
