#include "briarspread/gateway/rules_agent.h"

#include <catch2/catch.hpp>

#include "briarspread/gateway/peer_seal.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread {
namespace {

using testing::ManualClock;
using testing::MemoryStore;

constexpr char kText[] = "drain upstream=a # Rosa\n";

/// Ends every exchange with `answer` and records the requests.
class AnsweringClient final : public UpstreamClient {
 public:
  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* /*receiver*/) override {
    requests.push_back(request);
    return answer;
  }

  std::vector<UpstreamRequest> requests;
  ExchangeOutcome answer;
};

ListedInstance MakePeer(const std::string& name, std::uint16_t port) {
  ListedInstance listed;
  listed.name = name;
  listed.endpoint = {"127.0.0.1", port};
  return listed;
}

/// An agent whose steps the test runs, with a store whose outage can be set.
struct Fixture {
  explicit Fixture(const std::string& key = "") {
    settings.distributor.self = InstanceId("entry-1");
    settings.peers.peer_key = key;
    client.answer.stage = ExchangeStage::kEnded;
    client.answer.status = 200;
    client.answer.body = FormatOffer({Revision(5), kText}, Revision(0));
    agent.emplace(settings, store, client, state, clock, random);
    agent->OnInstances({MakePeer("entry-1", 1), MakePeer("entry-2", 2)});
  }

  void StepUntilIdle() {
    for (int i = 0; i < 10 && agent->StepStore() == milliseconds(0); ++i) {
    }
    for (int i = 0; i < 10 && agent->StepPeers() == milliseconds(0); ++i) {
    }
  }

  RulesAgentSettings settings;
  ManualClock clock;
  SeededRandom random{1};
  MemoryStore store;
  AnsweringClient client;
  ControlState state;
  std::optional<RulesAgent> agent;
};

TEST_CASE("an instance that received no rules stays not ready") {
  Fixture fixture;
  fixture.StepUntilIdle();
  REQUIRE_FALSE(fixture.state.has_rules);
  REQUIRE(fixture.client.requests.empty());
}

TEST_CASE("rules from the store are published to request handlers") {
  Fixture fixture;
  RuleStore operators(RuleStoreSettings{}, fixture.store, fixture.clock);
  operators.Apply({OperationId("x"), Revision(0), kText, "Rosa"});
  fixture.StepUntilIdle();
  REQUIRE(fixture.state.has_rules);
  REQUIRE(fixture.state.rules.Read()->IsDrained(UpstreamId("a")));
  REQUIRE(fixture.state.rules.Read()->revision == Revision(1));
}

TEST_CASE("during an outage of the store the rules come from a peer") {
  Fixture fixture;
  fixture.store.SetOutage(true);
  fixture.StepUntilIdle();
  REQUIRE(fixture.state.rules.Read()->revision == Revision(5));
  REQUIRE(fixture.client.requests.at(0).endpoint.port == 2);
  REQUIRE(fixture.client.requests.at(0).path == "/v1/rules?above=0");
}

TEST_CASE("an offer without the right seal is refused") {
  Fixture fixture("the instances' key");
  fixture.store.SetOutage(true);
  fixture.client.answer.headers = {{kSealHeader, "00"}};
  fixture.StepUntilIdle();
  REQUIRE_FALSE(fixture.state.has_rules);
  fixture.client.answer.headers = {
      {kSealHeader, SealOf("the instances' key", fixture.client.answer.body)}};
  fixture.clock.Advance(seconds(2));
  fixture.StepUntilIdle();
  REQUIRE(fixture.state.has_rules);
}

TEST_CASE("a malformed offer is refused") {
  const char* const bodies[] = {"",
                                "{]",
                                "[]",
                                "{}",
                                R"({"revision":-1})",
                                R"({"revision":"1"})",
                                R"({"revision":1,"text":2})"};
  for (const std::string body : bodies) {
    INFO(body);
    REQUIRE_FALSE(IsOk(ParseOffer(body)));
  }
  REQUIRE_FALSE(IsOk(ParseOffer(std::string(1'000'000, ' '))));
  const RuleText rules{Revision(3), kText};
  REQUIRE(ValueOf(ParseOffer(FormatOffer(rules, Revision(2)))) == rules);
  REQUIRE(ValueOf(ParseOffer(FormatOffer(rules, Revision(3)))).text.empty());
}

}  // namespace
}  // namespace briarspread
