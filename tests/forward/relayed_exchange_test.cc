#include "briarspread/forward/relayed_exchange.h"

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "briarspread/forward/relay_handler.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/broken_answers.h"
#include "tests/support/free_port.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

using briarspread::testing::RawUpstream;
using ResponderPtr = std::shared_ptr<proxy::Responder>;

/// An instance that relays for others, with its own event loop.
class Peer final : public proxy::RequestHandler {
 public:
  Peer() : handler(fixture.context), listener_(fixture.loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }
  void OnRequest(proxy::Request request, ResponderPtr responder) override {
    ++requests;
    if (fails_with.has_value()) {
      responder->Send(proxy::MakeResponse(*fails_with, "{}"));
      return;
    }
    if (!knows_path || !handler.TryAnswer(request, responder)) {
      responder->Send(proxy::MakeResponse(404, "{}"));
    }
  }
  RelayPeer AsRelay() const {
    return {Endpoint{"127.0.0.1", listener_.port()}, Locality{}};
  }

  ForwardFixture fixture;
  RelayHandler handler;
  int requests = 0;
  /// False for an instance of a build that does not relay.
  bool knows_path = true;
  /// Status of an answer that its handlers did not make.
  std::optional<int> fails_with;

 private:
  proxy::HttpListener listener_;
};

struct RecordingListener final : proxy::ExchangeListener {
  void OnHead(const proxy::ResponseHead& got) override { head = got; }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnEnd() override { has_ended = true; }
  void OnFailure(const proxy::ExchangeFailure& got) override { failure = got; }

  std::optional<proxy::ResponseHead> head;
  std::string body;
  bool has_ended = false;
  std::optional<proxy::ExchangeFailure> failure;
};

/// An instance that has lost its links, its peers, and an upstream.
struct Site {
  explicit Site(FakeUpstream::RespondFunction respond)
      : upstream(peers[0].fixture.loop, std::move(respond)),
        client(origin.loop),
        relays(RelayPeersSettings{}, Locality{}, origin.clock, origin.random,
               [this] {
                 std::vector<RelayPeer> list;
                 for (const Peer& peer : peers) list.push_back(peer.AsRelay());
                 return list;
               }) {
    origin.Add("u", upstream);
    for (Peer& peer : peers) peer.fixture.Add("u", upstream);
    origin.upstreams.SetRelays(client, relays);
    LoseLinks(origin);
  }

  /// Registers upstreams that cannot be connected to, and fails to connect.
  static void LoseLinks(ForwardFixture& fixture) {
    for (const char* id : {"dead-1", "dead-2"}) {
      DiscoveredUpstream listed;
      listed.id = UpstreamId(id);
      listed.service = ServiceName("dead");
      listed.endpoint = Endpoint{"127.0.0.1", briarspread::testing::FreePort()};
      fixture.directory.Put(listed);
      fixture.upstreams.OnNotConnected(listed.endpoint);
    }
  }

  void Start(const std::string& method = "POST",
             const std::string& body = "body") {
    proxy::RequestHead head;
    head.method = method;
    head.target = "/x";
    head.headers.Add("Host", "h");
    proxy::ExchangeRequest request;
    request.to = origin.directory.Find(UpstreamId("u"))->listed.endpoint;
    request.bytes = proxy::RequestBytes::Make(head, body);
    request.is_head_request = method == "HEAD";
    exchange = origin.upstreams.Start({UpstreamId("u"), 0}, std::move(request),
                                      listener);
  }

  /// Replaces the upstream by another one, at all instances.
  void MoveUpstream(const Endpoint& to) {
    DiscoveredUpstream listed = origin.directory.Find(UpstreamId("u"))->listed;
    listed.endpoint = to;
    origin.directory.Put(listed);
    for (Peer& peer : peers) peer.fixture.directory.Put(listed);
  }

  template <typename IsDone>
  void Await(const IsDone& is_done) {
    origin.Await([&] {
      for (Peer& peer : peers) {
        peer.fixture.loop.restart();
        peer.fixture.loop.poll();
      }
      return is_done();
    });
  }
  void AwaitEnd() {
    Await(
        [this] { return listener.has_ended || listener.failure.has_value(); });
  }

  std::array<Peer, 2> peers;
  ForwardFixture origin;
  FakeUpstream upstream;
  PeerClient client;
  RelayPeers relays;
  RecordingListener listener;
  std::unique_ptr<proxy::Exchange> exchange;
};

FakeUpstream::RespondFunction RespondWith(int status, const std::string& body) {
  return [=](const proxy::Request&, const ResponderPtr& responder) {
    responder->Send(SignedResponse(ExchangeHeaders{}, status, body));
  };
}

TEST_CASE("a relayed exchange delivers the upstream's response unchanged") {
  Site site(RespondWith(500, "a failure of the upstream's own"));
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.has_ended);
  REQUIRE(site.listener.head->status == 500);
  REQUIRE(site.listener.body == "a failure of the upstream's own");
  REQUIRE(site.listener.head->headers.Find(ExchangeHeaders{}.signature));
  REQUIRE_FALSE(site.listener.head->headers.Find(kRelayOutcomeHeader));
  REQUIRE(site.upstream.requests.at(0).body == "body");
  REQUIRE(site.peers[0].requests + site.peers[1].requests == 1);
}

TEST_CASE("the response to a relayed HEAD request has no body") {
  Site site(RespondWith(200, "abc"));
  site.Start("HEAD");
  site.AwaitEnd();
  REQUIRE(site.listener.has_ended);
  REQUIRE(site.listener.body.empty());
}

TEST_CASE("a relayed request that was cut off may have run") {
  Site site([](const proxy::Request&, const ResponderPtr& responder) {
    responder->Abort();
  });
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.failure->verdict == Verdict::kMayHaveRun);
  REQUIRE(site.upstream.requests.size() == 1);
  REQUIRE(site.peers[0].requests + site.peers[1].requests == 1);
}

TEST_CASE("a response that is cut off on the way does not look complete") {
  Site site([](const proxy::Request&, const ResponderPtr& responder) {
    proxy::ResponseHead head;
    head.status = 200;
    responder->Start(head);
    responder->Write("part");
    responder->SetOnDrained([responder] {
      if (responder->unsent() == 0) responder->Abort();
    });
  });
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.body == "part");
  REQUIRE(site.listener.failure->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a relayed response that the upstream resets is not complete") {
  Site site(RespondWith(200, ""));
  RawUpstream upstream(site.peers[0].fixture.loop,
                       {briarspread::testing::MakeResetAnswer("", "part")});
  site.MoveUpstream(upstream.endpoint());
  site.Start("POST", std::string(briarspread::testing::kLongBodyBytes, 'b'));
  site.AwaitEnd();
  REQUIRE(site.peers[0].requests + site.peers[1].requests == 1);
  REQUIRE(site.listener.failure.has_value());
  REQUIRE(site.listener.failure->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("an invalid response is not relayed") {
  for (const std::string& answer :
       briarspread::testing::MakeInvalidAnswers("X: y\r\n", "no")) {
    CAPTURE(answer);
    Site site(RespondWith(200, ""));
    RawUpstream upstream(site.peers[0].fixture.loop, {answer});
    site.MoveUpstream(upstream.endpoint());
    site.Start();
    site.AwaitEnd();
    REQUIRE(site.listener.failure.has_value());
    REQUIRE(site.listener.failure->fault == proxy::ExchangeFault::kGarbled);
    REQUIRE(site.listener.failure->verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE("a relayed request is not run if the peer cannot connect either") {
  Site site(RespondWith(200, ""));
  const Endpoint dead{"127.0.0.1", briarspread::testing::FreePort()};
  for (Peer& peer : site.peers) {
    DiscoveredUpstream listed =
        peer.fixture.directory.Find(UpstreamId("u"))->listed;
    listed.endpoint = dead;
    peer.fixture.directory.Put(listed);
  }
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.failure->verdict == Verdict::kNotRun);
  REQUIRE(site.listener.failure->was_relayed);
  REQUIRE(site.upstream.requests.empty());
}

TEST_CASE("cancelling a relayed exchange cancels it at the upstream") {
  bool is_gone = false;
  Site site([&](const proxy::Request&, const ResponderPtr& responder) {
    responder->SetOnDisconnect([&is_gone] { is_gone = true; });
  });
  site.Start();
  site.Await([&] { return !site.upstream.requests.empty(); });
  site.exchange->Cancel();
  site.Await([&] { return is_gone; });
  for (const Peer& peer : site.peers) REQUIRE(peer.handler.in_flight() == 0);
}

TEST_CASE("peers that do not relay are passed over") {
  Site site(RespondWith(200, "whole"));
  SECTION("one is of a build that does not know the path") {
    site.peers[1].knows_path = false;
  }
  SECTION("one has lost its links itself") {
    ForwardFixture& cut_off = site.peers[1].fixture;
    Site::LoseLinks(cut_off);
    // Its trial connections fail, since its upstream's address is dead.
    DiscoveredUpstream listed = cut_off.directory.Find(UpstreamId("u"))->listed;
    listed.endpoint = Endpoint{"127.0.0.1", briarspread::testing::FreePort()};
    cut_off.directory.Put(listed);
    site.Await([&] { return cut_off.upstreams.is_cut_off(); });
  }
  for (int i = 0; i < 8; ++i) {
    site.listener = {};
    site.Start();
    site.AwaitEnd();
    REQUIRE(site.listener.has_ended);
    REQUIRE(site.listener.body == "whole");
  }
  REQUIRE(site.upstream.requests.size() == 8);
}

// Guards against a request that is sent twice because its peer failed after it
// had relayed it.
TEST_CASE("a request may have run if the peer fails without an outcome") {
  for (const int status : {500, 504}) {
    Site site(RespondWith(200, "whole"));
    for (Peer& peer : site.peers) peer.fails_with = status;
    site.Start();
    site.AwaitEnd();
    CAPTURE(status);
    REQUIRE(site.listener.failure.has_value());
    REQUIRE(site.listener.failure->verdict == Verdict::kMayHaveRun);
    REQUIRE(site.listener.failure->was_relayed);
    REQUIRE(site.upstream.requests.empty());
    REQUIRE(site.peers[0].requests + site.peers[1].requests == 1);
  }
}

TEST_CASE("a peer sends nothing to an upstream that is leaving") {
  Site site(RespondWith(200, ""));
  for (Peer& peer : site.peers) {
    peer.fixture.directory.MarkLeaving(UpstreamId("u"));
  }
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.failure->verdict == Verdict::kNotRun);
  REQUIRE(site.upstream.requests.empty());
}

TEST_CASE("peers that do not know an upstream yet relay to others") {
  Site site(RespondWith(200, "whole"));
  for (Peer& peer : site.peers) peer.fixture.directory.ReplaceAll({});
  site.Start();
  site.AwaitEnd();
  // Sent directly, since neither peer knows it.
  REQUIRE(site.listener.body == "whole");
  REQUIRE(site.relays.Choose({}).has_value());
}

TEST_CASE("a request is not sent if all instances are known to be cut off") {
  Site site(RespondWith(200, ""));
  // The trial connections of the instance itself fail as well.
  DiscoveredUpstream listed =
      site.origin.directory.Find(UpstreamId("u"))->listed;
  listed.endpoint = Endpoint{"127.0.0.1", briarspread::testing::FreePort()};
  site.origin.directory.Put(listed);
  site.origin.upstreams.OnNotConnected(listed.endpoint);
  site.Await([&] { return site.origin.upstreams.is_cut_off(); });
  for (Peer& peer : site.peers) peer.knows_path = false;
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.failure->verdict == Verdict::kNotRun);
  REQUIRE(site.upstream.requests.empty());
}

TEST_CASE("a request is sent directly if no peer relays") {
  Site site(RespondWith(200, "whole"));
  for (Peer& peer : site.peers) peer.knows_path = false;
  site.Start();
  site.AwaitEnd();
  REQUIRE(site.listener.body == "whole");
}

// Guards against a request that is sent directly long after its start because
// the process was paused while its peers refused it.
TEST_CASE("a request that no peer relays is not sent directly late") {
  Site site(RespondWith(200, "whole"));
  for (Peer& peer : site.peers) peer.knows_path = false;
  briarspread::testing::ManualClock clock;
  int direct = 0;
  RelayedExchange::Spec spec;
  spec.request.to = site.upstream.endpoint();
  spec.request.bytes = proxy::RequestBytes::Parse("GET /x HTTP/1.1\r\n\r\n");
  spec.start_direct = [&](const auto&, auto&) {
    ++direct;
    return nullptr;
  };
  spec.on_reached = [] {};
  RelayedExchange exchange(site.client, site.relays, clock, std::move(spec),
                           site.listener);
  exchange.Start();
  clock.Advance(seconds(3));
  site.AwaitEnd();
  REQUIRE(direct == 0);
  REQUIRE(site.listener.failure->verdict == Verdict::kNotRun);
}

TEST_CASE("near peers relay first, and those that failed pause longer") {
  briarspread::testing::ManualClock clock;
  SeededRandom random(1);
  const RelayPeer near{Endpoint{"a", 1}, {RegionId("r"), ZoneId("z")}};
  const RelayPeer region{Endpoint{"b", 1}, {RegionId("r"), ZoneId("y")}};
  const RelayPeer far{Endpoint{"c", 1}, {RegionId("q"), ZoneId("x")}};
  RelayPeersSettings settings;
  settings.max_in_flight = 2;
  RelayPeers peers(settings, near.locality, clock, random, [&] {
    return std::vector{far, region, near};
  });
  clock.Advance(seconds(1));
  REQUIRE(peers.Choose({}) == near.endpoint);
  REQUIRE(peers.Choose({near.endpoint}) == region.endpoint);
  REQUIRE_FALSE(peers.Choose({near.endpoint, region.endpoint, far.endpoint}));
  peers.RecordStart(near.endpoint);
  peers.RecordStart(near.endpoint);
  REQUIRE(peers.Choose({}) == region.endpoint);
  peers.RecordEnd(near.endpoint);
  for (int i = 0; i < 2; ++i) {
    peers.RecordUnusable(near.endpoint);
    REQUIRE(peers.Choose({}) == region.endpoint);
    clock.Advance(settings.initial_pause);
    REQUIRE((peers.Choose({}) == near.endpoint) == (i == 0));
  }
  peers.RecordUsable(near.endpoint);
  REQUIRE(peers.Choose({}) == near.endpoint);
}

TEST_CASE("outcomes of relayed exchanges keep their fault and verdict") {
  using proxy::ExchangeFault;
  for (const auto fault : {ExchangeFault::kNotConnected, ExchangeFault::kBroken,
                           ExchangeFault::kGarbled, ExchangeFault::kTimedOut}) {
    for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun}) {
      const auto parsed =
          ParseRelayFailure(FormatRelayFailure({fault, verdict}));
      REQUIRE(parsed.fault == fault);
      REQUIRE(parsed.verdict == verdict);
    }
  }
  REQUIRE(ParseRelayFailure("failed by chance").verdict ==
          Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace briarspread::forward
