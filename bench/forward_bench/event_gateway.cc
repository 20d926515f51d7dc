#include "bench/forward_bench/event_gateway.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>

#include "briarspread/core/random_source.h"
#include "briarspread/forward/caller_gateway.h"
#include "briarspread/proxy/http_listener.h"
#include "briarspread/routing/two_choices_router.h"

namespace briarspread::bench {
namespace {

using forward::Configuration;

const ServiceName kService("bench");

std::shared_ptr<const Configuration> MakeConfiguration(
    const EventGatewaySettings& settings) {
  auto made = std::make_shared<Configuration>();
  made->version = forward::ConfigurationVersion(1);
  forward::Route route;
  route.name = "bench";
  route.host = settings.listen.host;
  route.prefix = settings.prefix;
  route.kind = forward::RouteKind::kIdempotent;
  route.max_attempts = 2;
  route.backends = {{kService, 1}};
  made->routes.push_back(route);
  return made;
}

/// The event-driven gateway with a fixed list of upstreams.
class EventGateway final : public proxy::RequestHandler {
 public:
  explicit EventGateway(const EventGatewaySettings& settings)
      : random_(1),
        directory_(forward::UpstreamDirectorySettings{}, Locality{}, clock_),
        router_(TwoChoicesSettings{}, random_, clock_),
        pool_(loop_, proxy::UpstreamConnectionSettings{}),
        upstreams_(loop_, pool_, directory_, metrics_, clock_,
                   forward::UpstreamTransportSettings{}),
        crash_guard_(forward::CrashGuardSettings{}, InstanceId("bench"),
                     clock_),
        retry_after_planner_(forward::RetryAfterPlannerSettings{}, clock_,
                             random_),
        limiter_(forward::RequestLimiterSettings{}, clock_),
        stream_origins_(forward::LocalStreamOriginsSettings{}, clock_),
        context_{loop_,
                 clock_,
                 random_,
                 headers_,
                 configuration_,
                 directory_,
                 router_,
                 upstreams_,
                 crash_guard_,
                 metrics_,
                 retry_after_planner_,
                 limiter_,
                 stream_origins_},
        callers_(context_),
        listener_(loop_, *this) {
    // The stand-in upstreams behind both gateways do not sign their responses.
    headers_.signature.clear();
    configuration_.UpdateIfNewer(MakeConfiguration(settings));
    for (const Endpoint& endpoint : settings.upstreams) {
      forward::DiscoveredUpstream upstream;
      upstream.id = UpstreamId(std::to_string(endpoint.port));
      upstream.service = kService;
      upstream.endpoint = endpoint;
      upstream.slots = kSlots;
      directory_.Put(upstream);
    }
  }

  Status Start(const Endpoint& at) { return listener_.Start(at); }
  void Run() {
    asio::signal_set signals(loop_, SIGTERM, SIGINT);
    signals.async_wait([this](asio::error_code, int) { loop_.stop(); });
    loop_.run();
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    const forward::Route* route = callers_.FindRoute(request);
    if (route == nullptr) {
      callers_.RefuseUnrouted(request, *responder);
      return;
    }
    callers_.Forward(std::move(request), *route, std::nullopt, responder);
  }

 private:
  static constexpr std::uint32_t kSlots = 64;

  asio::io_context loop_{1};
  SystemClock clock_;
  SeededRandom random_;
  forward::ExchangeHeaders headers_;
  forward::ConfigurationHolder configuration_;
  forward::UpstreamDirectory directory_;
  TwoChoicesRouter router_;
  proxy::ConnectionPool pool_;
  forward::ForwardMetrics metrics_;
  forward::UpstreamTransport upstreams_;
  forward::CrashGuard crash_guard_;
  forward::RetryAfterPlanner retry_after_planner_;
  forward::RequestLimiter limiter_;
  forward::LocalStreamOrigins stream_origins_;
  forward::ForwardContext context_;
  forward::CallerGateway callers_;
  proxy::HttpListener listener_;
};

}  // namespace

int RunEventGateway(const EventGatewaySettings& settings) {
  EventGateway gateway(settings);
  const Status started = gateway.Start(settings.listen);
  if (!IsOk(started)) {
    std::cerr << "forward_bench: " << ErrorOf(started).message << "\n";
    return 1;
  }
  gateway.Run();
  return 0;
}

}  // namespace briarspread::bench
