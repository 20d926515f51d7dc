#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <functional>
#include <string>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/proxy/http_call.h"
#include "tests/soak/soak_record.h"

namespace briarspread::soak {

/// Endpoints at which the edges serve callers.
struct SoakEdges {
  std::vector<Endpoint> frontends;
};

/// Sends requests to edges with the headers that the platform specifies. Used
/// on the loop's thread only.
class EdgeCaller final {
 public:
  using Done = std::function<void(const proxy::CallResult&)>;

  EdgeCaller(asio::io_context& loop, RandomSource& random,
             const SoakEdges& edges);

  /// Sends a request to the edge with index `edge`. `done` is called with the
  /// response or the failure, at the latest after `timeout`.
  void Call(std::size_t edge, const std::string& method,
            const std::string& target, const std::string& id,
            const std::string& body, milliseconds timeout, Done done);
  std::size_t RandomEdge() { return random_.Below(edges_.frontends.size()); }
  std::size_t edge_count() const { return edges_.frontends.size(); }

 private:
  RandomSource& random_;
  const SoakEdges edges_;
  proxy::ConnectionPool pool_;
};

/// Sends live requests to random edges, half of which are safe to run more than
/// once. Used on the loop's thread only.
class LiveCallers final {
 public:
  LiveCallers(asio::io_context& loop, EdgeCaller& caller, RandomSource& random,
              SoakRecord& record);

  void Start() { SendNext(); }
  void Stop() { timer_.Cancel(); }
  /// Sends one request to an edge. `done` is called with whether the response
  /// had status 200.
  void SendOnce(std::size_t edge, std::function<void(bool)> done);
  std::uint64_t served() const { return served_; }
  std::uint64_t sent() const { return sent_; }

 private:
  void SendNext();
  void Send(std::size_t edge, bool may_run_again,
            std::function<void(bool)> done);

  EdgeCaller& caller_;
  RandomSource& random_;
  SoakRecord& record_;
  LoopTimer timer_;
  std::uint64_t sent_ = 0;
  std::uint64_t served_ = 0;
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
