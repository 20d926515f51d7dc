#include "tests/soak/soak_callers.h"

#include <utility>

namespace briarspread::soak {
namespace {

constexpr milliseconds kPause{15};
constexpr milliseconds kCallTimeout{2500};
constexpr char kDeadlineMs[] = "2000";

}  // namespace

EdgeCaller::EdgeCaller(asio::io_context& loop, RandomSource& random,
                       const SoakEdges& edges)
    : random_(random),
      edges_(edges),
      pool_(loop, proxy::UpstreamConnectionSettings{}) {}

void EdgeCaller::Call(std::size_t edge, const std::string& method,
                      const std::string& target, const std::string& id,
                      const std::string& body, milliseconds timeout,
                      Done done) {
  proxy::RequestHead head;
  head.method = method;
  head.target = target;
  head.headers.Add("Host", "h");
  head.headers.Add("X-Attempt-Id", id);
  head.headers.Add("X-Deadline-Ms", kDeadlineMs);
  head.headers.Add("Api-Key", SoakKeyOf(SoakAccountOf(id)));
  proxy::ExchangeRequest request;
  request.to = edges_.frontends[edge];
  request.bytes = proxy::RequestBytes::Make(head, body);
  request.timeout = timeout;
  proxy::StartCall(pool_, std::move(request), std::move(done));
}

LiveCallers::LiveCallers(asio::io_context& loop, EdgeCaller& caller,
                         RandomSource& random, SoakRecord& record)
    : caller_(caller), random_(random), record_(record), timer_(loop) {}

void LiveCallers::SendNext() {
  Send(caller_.RandomEdge(), random_.Below(2) == 0, [](bool) {});
  timer_.After(kPause, [this] { SendNext(); });
}

void LiveCallers::SendOnce(std::size_t edge, std::function<void(bool)> done) {
  Send(edge, true, std::move(done));
}

void LiveCallers::Send(std::size_t edge, bool may_run_again,
                       std::function<void(bool)> done) {
  const std::string id = "r" + std::to_string(++sent_);
  record_.RecordSent(id, may_run_again);
  caller_.Call(
      edge, "POST", may_run_again ? "/safe/x" : "/once/x", id, id, kCallTimeout,
      [this, id, done = std::move(done)](const proxy::CallResult& result) {
        const auto* answer = std::get_if<proxy::Response>(&result);
        if (answer != nullptr) {
          record_.RecordAnswer(id, answer->head.status, answer->body);
        }
        const bool is_served = answer != nullptr && answer->head.status == 200;
        served_ += is_served;
        done(is_served);
      });
}

}  // namespace briarspread::soak
