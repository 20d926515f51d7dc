#ifndef TESTS_FORWARD_FORWARD_WORLD_H_
#define TESTS_FORWARD_FORWARD_WORLD_H_

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

/// An upstream on loopback that answers as a test says.
class FakeUpstream final : public proxy::RequestHandler {
 public:
  using Answer = std::function<void(const proxy::Request&,
                                    const std::shared_ptr<proxy::Responder>&)>;

  FakeUpstream(asio::io_context& loop, Answer answer)
      : answer_(std::move(answer)), listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    requests.push_back(request);
    answer_(requests.back(), responder);
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener_.port()}; }

  std::vector<proxy::Request> requests;

 private:
  Answer answer_;
  proxy::HttpListener listener_;
};

/// What forwarding works with, on loopback.
struct ForwardWorld {
  ForwardWorld()
      : random(7),
        directory(UpstreamDirectorySettings{}, Locality{}, clock),
        router(TwoChoicesSettings{}, random, clock),
        pool(loop, proxy::UpstreamConnectionSettings{}),
        crashes(CrashGuardSettings{},
                ProcessId{InstanceId("self"), Incarnation(1)}, clock),
        returns(ReturnPlannerSettings{}, clock, random),
        context{loop,   clock, random,  headers, configuration, directory,
                router, pool,  crashes, metrics, returns} {
    directory.SetOnGone([this](const DiscoveredUpstream& gone) {
      if (!gone.is_leaving) crashes.NoteEnded(gone.id, gone.start_id);
    });
  }

  /// Registers an upstream of service `s`.
  void Add(const std::string& id, const FakeUpstream& upstream,
           const std::vector<LoadedModel>& models = {},
           std::uint32_t slots = 8) {
    DiscoveredUpstream listed;
    listed.id = UpstreamId(id);
    listed.service = ServiceName("s");
    listed.endpoint = upstream.endpoint();
    listed.models = models;
    listed.slots = slots;
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
  CrashGuard crashes;
  ForwardMetrics metrics;
  ReturnPlanner returns;
  ForwardContext context;
};

/// An upstream's answer that gives a head and then the same bytes without end.
/// Precondition: `loop` outlives the upstream.
inline FakeUpstream::Answer Endless(asio::io_context& loop,
                                    const proxy::ResponseHead& head,
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

/// A signed answer.
inline proxy::Response Signed(const ExchangeHeaders& headers, int status,
                              const std::string& body) {
  proxy::Response response = proxy::MakeResponse(status, body);
  response.head.headers.Add(headers.signature, "sig");
  return response;
}

}  // namespace briarspread::forward

#endif  // TESTS_FORWARD_FORWARD_WORLD_H_
