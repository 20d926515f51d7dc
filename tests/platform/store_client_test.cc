#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/platform/store_stand_in.h"
#include "tests/support/broken_answers.h"
#include "tests/support/loop_runner.h"

namespace briarspread::platform {
namespace {

/// Test fixture: a store client connected to a store on loopback.
struct StoreClientFixture {
  StoreClientFixture()
      : stand_in(loop),
        peers(loop),
        random(1),
        path(loop, stand_in.endpoint(), peers, clock, random, {}),
        client(path) {}

  template <typename T, typename Call>
  Result<T> Await(const Call& call) {
    std::optional<Result<T>> result;
    call([&](const Result<T>& got) { result = got; });
    REQUIRE(briarspread::testing::RunUntil(loop, [&] {
      stand_in.Deliver();
      return result.has_value();
    }));
    return *result;
  }
  Result<StoreOutcome> Commit(StoreTransaction transaction) {
    return Await<StoreOutcome>([&](auto done) {
      client.Commit(std::move(transaction), std::move(done));
    });
  }

  asio::io_context loop;
  SystemClock clock;
  StoreStandIn stand_in;
  PeerClient peers;
  SeededRandom random;
  StoreTransport path;
  StoreClient client;
};

// Guards against a part of the failure of review/3 (LOST): a refusal for good
// was taken for an unknown outcome, and the same bytes were sent again.
TEST_CASE("a transaction that the store refuses as invalid has not run") {
  StoreClientFixture fixture;
  fixture.stand_in.SetRefusalStatus(400);
  const auto refused = fixture.Commit({});
  REQUIRE(ErrorOf(refused).code == ErrorCode::kInvalidArgument);
  REQUIRE(ErrorOf(refused).verdict == Verdict::kNotRun);
}

TEST_CASE("a broken answer of the store commits nothing") {
  const std::string committed = R"({"Revision":7})";
  const std::string reset =
      briarspread::testing::MakeResetAnswer("", committed);
  auto answers =
      briarspread::testing::MakeInvalidAnswers("X: y\r\n", committed);
  answers.push_back(reset);
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    StoreClientFixture fixture;
    briarspread::testing::RawUpstream store(fixture.loop, {answer});
    StoreTransport path(fixture.loop, store.endpoint(), fixture.peers,
                        fixture.clock, fixture.random, {});
    StoreClient client(path);
    // A long body would have each answer reset, and so hide the invalid ones.
    const std::string value(
        answer == reset ? briarspread::testing::kLongBodyBytes : 1, 'v');
    StoreTransaction put;
    put.writes.push_back({"p/a", value, StoreLeaseId()});
    const auto result = fixture.Await<StoreOutcome>(
        [&](auto done) { client.Commit(std::move(put), std::move(done)); });
    REQUIRE_FALSE(IsOk(result));
    REQUIRE(ErrorOf(result).verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE("keys are written conditionally, read, listed and watched") {
  StoreClientFixture fixture;
  const std::string bytes("\x00\xff\n", 3);
  StoreTransaction put;
  put.conditions.push_back({"p/a", StoreIndex(0)});
  for (const char* key : {"p/a", "p/b", "p/c"}) {
    put.writes.push_back({key, bytes, StoreLeaseId()});
  }
  const auto written = fixture.Commit(put);
  const StoreIndex index = std::get<StoreCommitted>(ValueOf(written)).index;
  REQUIRE(index.value() > 0);
  const auto again = fixture.Commit(put);
  REQUIRE(std::get<StoreConflict>(ValueOf(again)).current[0].key == "p/a");

  const auto read = fixture.Await<std::optional<KeyValue>>(
      [&](auto done) { fixture.client.Get("p/a", std::move(done)); });
  REQUIRE(ValueOf(read)->value == bytes);
  const auto none = fixture.Await<std::optional<KeyValue>>(
      [&](auto done) { fixture.client.Get("p/none", std::move(done)); });
  REQUIRE_FALSE(ValueOf(none).has_value());
  const auto listing = fixture.Await<StoreListing>(
      [&](auto done) { fixture.client.List("p/", std::move(done)); });
  REQUIRE(ValueOf(listing).items.size() == 3);

  fixture.stand_in.memory().Erase("p/b");
  const auto changes = fixture.Await<StoreChanges>([&](auto done) {
    fixture.client.Watch("p/", index, milliseconds(1000), std::move(done));
  });
  REQUIRE(ValueOf(changes).changes.size() == 1);
  REQUIRE_FALSE(ValueOf(changes).changes[0].value.has_value());
}

TEST_CASE("a watch whose history has expired fails with kStale") {
  StoreClientFixture fixture;
  fixture.stand_in.memory().Write("p/a", "x");
  fixture.stand_in.memory().CompactHistory();
  const auto changes = fixture.Await<StoreChanges>([&](auto done) {
    fixture.client.Watch("p/", StoreIndex(1), milliseconds(1000),
                         std::move(done));
  });
  REQUIRE(ErrorOf(changes).code == ErrorCode::kStale);
}

TEST_CASE("a lease is granted and renewed, and renewal fails after expiry") {
  StoreClientFixture fixture;
  const auto lease = fixture.Await<StoreLease>([&](auto done) {
    fixture.client.GrantLease(milliseconds(2000), std::move(done));
  });
  const StoreLeaseId id = ValueOf(lease).id;
  const auto keep = [&](auto done) {
    fixture.client.RenewLease(id, std::move(done));
  };
  REQUIRE(IsOk(fixture.Await<StoreLease>(keep)));
  fixture.stand_in.memory().ExpireLease(id);
  REQUIRE(ErrorOf(fixture.Await<StoreLease>(keep)).code ==
          ErrorCode::kNotFound);
}

TEST_CASE("status 503 and 429 mean kNotRun, status 500 means kMayHaveRun") {
  StoreClientFixture fixture;
  for (const int status : {503, 429}) {
    fixture.stand_in.SetRefusalStatus(status);
    StoreTransaction put;
    put.writes.push_back({"p/a", "x", StoreLeaseId()});
    REQUIRE(ErrorOf(fixture.Commit(put)).verdict == Verdict::kNotRun);
  }
  fixture.stand_in.SetRefusalStatus(500);
  REQUIRE(ErrorOf(fixture.Commit({})).verdict == Verdict::kMayHaveRun);
}

/// A peer that relays calls to the store.
struct Relay final : proxy::RequestHandler {
  Relay(asio::io_context& loop, StoreTransport& path)
      : path(path), listener(loop, *this) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    ++relayed;
    const auto query = proxy::SplitTarget(request.head.target).query;
    StoreCall call{*proxy::FindParameter(query, "method"),
                   *proxy::FindParameter(query, "target"), request.body};
    path.Relay(std::move(call), [responder](Result<proxy::Response> got) {
      responder->Send(IsOk(got) ? ValueOf(got) : proxy::MakeResponse(503, ""));
    });
  }
  StoreTransport& path;
  proxy::HttpListener listener;
  int relayed = 0;
};

TEST_CASE("an instance that the store rejects reaches it through a peer") {
  StoreClientFixture fixture;
  StoreStandIn rejecting_store(fixture.loop);
  rejecting_store.SetRefusalStatus(503);
  StoreTransport path(fixture.loop, rejecting_store.endpoint(), fixture.peers,
                      fixture.clock, fixture.random, {});
  Relay relay(fixture.loop, fixture.path);
  path.SetPeers([&] {
    return std::vector<Endpoint>{{"127.0.0.1", relay.listener.port()}};
  });
  StoreClient client(path);
  fixture.stand_in.memory().Write("k", "v");
  const auto get = [&](auto done) { client.Get("k", std::move(done)); };
  REQUIRE_FALSE(IsOk(fixture.Await<std::optional<KeyValue>>(get)));
  const auto read = fixture.Await<std::optional<KeyValue>>(get);
  if (!IsOk(read)) FAIL(ErrorOf(read).message);
  REQUIRE(ValueOf(read)->value == "v");
  REQUIRE(relay.relayed == 1);
}

}  // namespace
}  // namespace briarspread::platform
