#ifndef TESTS_FORWARD_FORWARD_FIXTURE_H_
#define TESTS_FORWARD_FORWARD_FIXTURE_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/forward/forward_context.h"
#include "briarspread/proxy/http_listener.h"
#include "briarspread/routing/two_choices_router.h"
#include "tests/support/loop_runner.h"

namespace briarspread::forward {

/// An upstream on loopback whose responses are made by a function of the test.
class FakeUpstream final : public proxy::RequestHandler {
 public:
  using RespondFunction = std::function<void(
      const proxy::Request&, const std::shared_ptr<proxy::Responder>&)>;

  FakeUpstream(asio::io_context& loop, RespondFunction respond)
      : respond_(std::move(respond)), listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    requests.push_back(request);
    respond_(requests.back(), responder);
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }

  std::vector<proxy::Request> requests;

 private:
  RespondFunction respond_;
  proxy::HttpListener listener_;
};

/// A `ForwardContext` and the objects that it refers to, for upstreams on
/// loopback.
struct ForwardFixture {
  ForwardFixture()
      : random(7),
        directory(UpstreamDirectorySettings{}, Locality{}, clock),
        router(TwoChoicesSettings{}, random, clock),
        pool(loop, proxy::UpstreamConnectionSettings{}),
        upstreams(loop, pool, directory, metrics, clock,
                  UpstreamTransportSettings{}),
        crash_guard(CrashGuardSettings{}, InstanceId("self"), clock),
        retry_after_planner(RetryAfterPlannerSettings{}, clock, random),
        limiter(RequestLimiterSettings{}, clock),
        stream_origins(LocalStreamOriginsSettings{}, clock),
        context{loop,
                clock,
                random,
                headers,
                configuration,
                directory,
                router,
                upstreams,
                crash_guard,
                metrics,
                retry_after_planner,
                limiter,
                stream_origins} {
    directory.SetOnRemoved([this](const DiscoveredUpstream& gone) {
      if (!gone.is_leaving) crash_guard.OnUpstreamEnd(StartOf(gone));
    });
    directory.SetOnAdded([this](const DiscoveredUpstream& added) {
      crash_guard.OnUpstreamListed(StartOf(added));
    });
  }

  /// Registers an upstream of service `s`.
  void Add(const std::string& id, const FakeUpstream& upstream,
           const std::vector<LoadedModel>& models = {}, std::uint32_t slots = 8,
           const std::string& software = "v1") {
    AddAt(id, upstream.endpoint(), models, slots, software);
  }

  /// Registers an upstream of service `s` at an endpoint.
  void AddAt(const std::string& id, const Endpoint& endpoint,
             const std::vector<LoadedModel>& models = {},
             std::uint32_t slots = 8, const std::string& software = "v1") {
    DiscoveredUpstream listed;
    listed.id = UpstreamId(id);
    listed.service = ServiceName("s");
    listed.endpoint = endpoint;
    listed.models = models;
    listed.slots = slots;
    listed.software = SoftwareVersion(software);
    directory.Put(listed);
  }

  template <typename IsDone>
  void Await(const IsDone& is_done) {
    REQUIRE(briarspread::testing::RunUntil(loop, is_done));
  }

  asio::io_context loop;
  SystemClock clock;
  SeededRandom random;
  ExchangeHeaders headers;
  ConfigurationHolder configuration;
  UpstreamDirectory directory;
  TwoChoicesRouter router;
  proxy::ConnectionPool pool;
  ForwardMetrics metrics;
  UpstreamTransport upstreams;
  CrashGuard crash_guard;
  RetryAfterPlanner retry_after_planner;
  RequestLimiter limiter;
  LocalStreamOrigins stream_origins;
  ForwardContext context;
};

/// Returns a function that responds with a head and then the same bytes
/// endlessly, until the connection closes. Precondition: `loop` outlives the
/// upstream.
inline FakeUpstream::RespondFunction RespondEndlessly(
    asio::io_context& loop, const proxy::ResponseHead& head,
    const std::string& bytes) {
  return
      [&loop, head, bytes](const proxy::Request&,
                           const std::shared_ptr<proxy::Responder>& responder) {
        responder->Start(head);
        const auto timer = std::make_shared<LoopTimer>(loop);
        timer->Every(milliseconds(1),
                     [timer, responder, bytes] { responder->Write(bytes); });
        responder->SetOnDisconnect([timer] { timer->Cancel(); });
      };
}

/// Returns a response with a signature header.
inline proxy::Response SignedResponse(const ExchangeHeaders& headers,
                                      int status, const std::string& body) {
  proxy::Response response = proxy::MakeResponse(status, body);
  response.head.headers.Add(headers.signature, "sig");
  return response;
}

}  // namespace briarspread::forward

#endif  // TESTS_FORWARD_FORWARD_FIXTURE_H_
