// Where an instance that starts gets the job records from.

#include <catch2/catch.hpp>
#include <optional>

#include "briarspread/proxy/http_listener.h"
#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

using Fault = AsyncMemoryStore::Fault;

constexpr char kRecords[] = "job-records/";

/// Serves the peer interface of a gateway.
struct PeerServer final : proxy::RequestHandler {
  PeerServer(asio::io_context& loop, JobGateway& gateway)
      : handler(gateway), listener(loop, *this) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    REQUIRE(handler.TryAnswer(request, responder));
  }
  JobPeerHandler handler;
  proxy::HttpListener listener;
};

// Guards against starts that each list all job records at the store.
TEST_CASE("an instance that starts gets the job records from a peer") {
  JobGatewayFixture fixture;
  fixture.AwaitStore(
      [&] { return fixture.gateway.EncodedIndex().has_value(); });
  StoredRecord ended{JobId("ended"), {}, StoreIndex(5)};
  ended.record.is_ended = true;
  fixture.gateway.OnNotice(ended);
  PeerServer server(fixture.loop, fixture.gateway);
  InstanceRecord peer = Record("b", 1);
  peer.peer_endpoint.port = server.listener.port();
  fixture.AddInstance(peer);

  fixture.store.FailNextRead(kRecords, Fault::kRefuse);
  briarspread::testing::CountingListener listener;
  InstanceRegistry registry(fixture.loop, fixture.store, fixture.store, nullptr,
                            {}, Record("c", 1), listener);
  JobGateway started(fixture.loop, fixture.jobs, registry, fixture.peers,
                     fixture.clock, JobGatewayFixture::FastGatewaySettings());
  JobRunner runner(fixture.context, fixture.jobs,
                   JobRunnerFixture::FastSettings(), registry.self(), started);
  registry.Start();
  started.Start(runner);
  runner.Start();
  fixture.AwaitStore([&] { return started.EncodedIndex().has_value(); });
  REQUIRE(started.EncodedIndex() == fixture.gateway.EncodedIndex());
  // The next listing is the first one: the instance that started made none.
  std::optional<bool> is_refused;
  fixture.jobs.ListRecords([&](const auto& got) { is_refused = !IsOk(got); });
  fixture.AwaitStore([&] { return is_refused.has_value(); });
  REQUIRE(*is_refused);
}

// Guards against a peer whose answer would end the process or hide jobs.
TEST_CASE("a malformed job index is not used") {
  StoredRecord stored{JobId("j"), {}, StoreIndex(5)};
  stored.record.owner = InstanceId("a");
  const std::string bytes = EncodeRecords({{stored.id, stored}});
  const auto records = DecodeRecords(bytes);
  REQUIRE(records.has_value());
  REQUIRE(records->size() == 1);
  REQUIRE(records->front().index == stored.index);
  REQUIRE(records->front().record.owner == stored.record.owner);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    REQUIRE_FALSE(DecodeRecords(bytes.substr(0, n)).has_value());
  }
  REQUIRE_FALSE(DecodeRecords("\x81\x01").has_value());
}

}  // namespace
}  // namespace briarspread::batch
