#include "briarspread/forward/departures.h"

#include <catch2/catch.hpp>

#include "briarspread/forward/departure_exchange.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::ManualClock;

DiscoveredUpstream MakeUpstream(const std::string& id, std::uint64_t start,
                                bool is_leaving = false) {
  DiscoveredUpstream listed;
  listed.id = UpstreamId(id);
  listed.service = ServiceName("s");
  listed.endpoint = Endpoint{"127.0.0.1", 1};
  listed.start_id = start;
  listed.is_leaving = is_leaving;
  return listed;
}

struct DirectoryFixture {
  DirectoryFixture()
      : directory(UpstreamDirectorySettings{}, Locality{}, clock) {
    directory.SetOnDeparture([this](const UpstreamStart& start) {
      reported_departures.push_back(start);
    });
    directory.SetOnLeaving([this](const DiscoveredUpstream& leaving) {
      leaving_upstreams.push_back(leaving.id);
    });
  }
  bool IsLeaving(const std::string& id) {
    return directory.Find(UpstreamId(id))->listed.is_leaving;
  }

  ManualClock clock;
  UpstreamDirectory directory;
  std::vector<UpstreamStart> reported_departures;
  std::vector<UpstreamId> leaving_upstreams;
};

TEST_CASE("an upstream that announces its departure is leaving at once") {
  DirectoryFixture fixture;
  fixture.directory.Put(MakeUpstream("u", 5));
  fixture.directory.MarkLeaving(UpstreamId("u"));
  REQUIRE(fixture.IsLeaving("u"));
  REQUIRE(fixture.leaving_upstreams ==
          std::vector<UpstreamId>{UpstreamId("u")});
  REQUIRE(fixture.reported_departures ==
          std::vector<UpstreamStart>{{UpstreamId("u"), std::uint64_t{5}}});
  // The upstream repeats the announcement in each response; it is reported
  // once.
  fixture.directory.MarkLeaving(UpstreamId("u"));
  REQUIRE(fixture.reported_departures.size() == 1);
}

TEST_CASE("a departure is reverted by a later start only, not by a list") {
  DirectoryFixture fixture;
  fixture.directory.Put(MakeUpstream("u", 5));
  fixture.directory.MarkLeaving(UpstreamId("u"));
  fixture.directory.Put(MakeUpstream("u", 5));
  REQUIRE(fixture.IsLeaving("u"));
  fixture.directory.ReplaceAll({MakeUpstream("u", 5)});
  REQUIRE(fixture.IsLeaving("u"));
  fixture.directory.Remove({UpstreamId("u")});
  REQUIRE(fixture.directory.Find(UpstreamId("u")) == nullptr);
  // An older list contains the upstream again, with the same start or an
  // earlier one.
  fixture.directory.ReplaceAll({MakeUpstream("u", 5)});
  REQUIRE(fixture.IsLeaving("u"));
  fixture.directory.ReplaceAll({MakeUpstream("u", 4)});
  REQUIRE(fixture.IsLeaving("u"));
  fixture.directory.Put(MakeUpstream("u", 6));
  REQUIRE_FALSE(fixture.IsLeaving("u"));
}

TEST_CASE("a registration as leaving is not reverted by an older one") {
  DirectoryFixture fixture;
  fixture.directory.Put(MakeUpstream("u", 5, true));
  fixture.directory.Put(MakeUpstream("u", 5, false));
  REQUIRE(fixture.IsLeaving("u"));
  // All instances see the registration, so the departure is not reported.
  REQUIRE(fixture.reported_departures.empty());
}

TEST_CASE(
    "a departure reported by a peer applies before and after registration") {
  DirectoryFixture fixture;
  fixture.directory.RecordPeerDeparture({UpstreamId("u"), 5});
  fixture.directory.Put(MakeUpstream("u", 5));
  REQUIRE(fixture.IsLeaving("u"));
  fixture.directory.Put(MakeUpstream("v", 7));
  fixture.directory.RecordPeerDeparture({UpstreamId("v"), 6});
  REQUIRE_FALSE(fixture.IsLeaving("v"));
  fixture.directory.RecordPeerDeparture({UpstreamId("v"), 7});
  REQUIRE(fixture.IsLeaving("v"));
  REQUIRE(fixture.reported_departures.empty());
}

TEST_CASE("departures are bounded in number and time") {
  ManualClock clock;
  DeparturesSettings settings;
  settings.max_count = 2;
  Departures departures(settings, clock);
  for (int i = 0; i < 3; ++i) {
    departures.Record({UpstreamId("u" + std::to_string(i)), 1});
    clock.Advance(seconds(1));
  }
  REQUIRE(departures.All().size() == 2);
  REQUIRE_FALSE(departures.HasLeft({UpstreamId("u0"), 1}));
  clock.Advance(settings.retention);
  departures.DropOld();
  REQUIRE(departures.All().empty());
}

TEST_CASE(
    "starts are restored from their JSON, and malformed JSON is rejected") {
  const std::vector<UpstreamStart> starts = {
      {UpstreamId("a"), 1}, {UpstreamId("b"), 18'000'000'000'000'000'000U}};
  REQUIRE(ParseUpstreamStarts(EncodeUpstreamStarts(starts)) == starts);
  const std::vector<std::string> malformed = {
      "",
      "{}",
      "[1]",
      R"([{"id":"a"}])",
      R"([{"id":1,"start":2}])",
      R"([{"id":"a","start":"x"}])",
  };
  for (const std::string& text : malformed) {
    REQUIRE_FALSE(ParseUpstreamStarts(text).has_value());
  }
}

/// Returns a signed response that announces the departure of its upstream.
proxy::Response LeavingResponse(const ExchangeHeaders& headers, int status) {
  proxy::Response response = SignedResponse(headers, status, "{}");
  response.head.headers.Add(headers.leaving, "1");
  return response;
}

TEST_CASE(
    "a response of any status can announce the departure of its upstream") {
  for (const int status : {200, 421, 500, 503}) {
    ForwardFixture fixture;
    FakeUpstream upstream(
        fixture.loop,
        [](const proxy::Request&, const std::shared_ptr<proxy::Responder>&) {});
    fixture.Add("u", upstream);
    UpdateFromResponseHead(fixture.context, UpstreamId("u"),
                           LeavingResponse(fixture.headers, status).head,
                           fixture.clock.Now());
    REQUIRE(fixture.directory.Find(UpstreamId("u"))->listed.is_leaving);
    // Later responses without the header change nothing, including a refusal of
    // a request meant for another upstream.
    UpdateFromResponseHead(fixture.context, UpstreamId("u"),
                           proxy::MakeResponse(421, "{}").head,
                           fixture.clock.Now());
    REQUIRE(fixture.directory.Find(UpstreamId("u"))->listed.is_leaving);
  }
}

/// A departure exchange with a listener on loopback for the requests of peers.
struct DepartureExchangePeer final : proxy::RequestHandler {
  DepartureExchangePeer(asio::io_context& loop, UpstreamDirectory& directory,
                        RandomSource& random, std::vector<Endpoint>& others)
      : client(loop),
        listener(loop, *this),
        exchange(
            loop, directory, client, random, [&others] { return others; },
            NoticeExchangeSettings{}) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    ++calls;
    REQUIRE(exchange.TryAnswer(request, responder));
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener.port()}; }

  PeerClient client;
  proxy::HttpListener listener;
  DepartureExchange exchange;
  int calls = 0;
};

TEST_CASE(
    "a departure is published to peers, and a starting instance queries them") {
  asio::io_context loop;
  SystemClock clock;
  SeededRandom random(3);
  std::vector<Endpoint> nobody;
  std::vector<Endpoint> peers;
  UpstreamDirectory first(UpstreamDirectorySettings{}, Locality{}, clock);
  UpstreamDirectory second(UpstreamDirectorySettings{}, Locality{}, clock);
  UpstreamDirectory third(UpstreamDirectorySettings{}, Locality{}, clock);
  DepartureExchangePeer a(loop, first, random, peers);
  DepartureExchangePeer b(loop, second, random, nobody);
  peers.push_back(b.endpoint());
  first.Put(MakeUpstream("u", 5));
  first.MarkLeaving(UpstreamId("u"));
  REQUIRE(testing::RunUntil(loop, [&] {
    return second.departures().HasLeft({UpstreamId("u"), 5});
  }));
  // This instance starts later, while its list still shows the upstream as
  // ready.
  DepartureExchangePeer c(loop, third, random, peers);
  third.Put(MakeUpstream("u", 5));
  REQUIRE_FALSE(c.exchange.is_initial_query_done());
  c.exchange.OnInstancesChanged();
  REQUIRE(testing::RunUntil(
      loop, [&] { return c.exchange.is_initial_query_done(); }));
  REQUIRE(third.Find(UpstreamId("u"))->listed.is_leaving);
  // An instance that learns of its peers only after it has stopped waiting for
  // them queries them too.
  UpstreamDirectory fourth(UpstreamDirectorySettings{}, Locality{}, clock);
  std::vector<Endpoint> late;
  DepartureExchangePeer d(loop, fourth, random, late);
  d.exchange.OnInstancesChanged();
  REQUIRE(testing::RunUntil(
      loop, [&] { return d.exchange.is_initial_query_done(); }));
  late = peers;
  d.exchange.OnInstancesChanged();
  REQUIRE(testing::RunUntil(loop, [&] {
    return fourth.departures().HasLeft({UpstreamId("u"), 5});
  }));
  // A departure received from a peer is not published again.
  REQUIRE(a.calls == 0);
}

}  // namespace
}  // namespace briarspread::forward
