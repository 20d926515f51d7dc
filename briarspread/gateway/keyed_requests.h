#ifndef BRIARSPREAD_GATEWAY_KEYED_REQUESTS_H_
#define BRIARSPREAD_GATEWAY_KEYED_REQUESTS_H_

#include <memory>

#include "briarspread/gateway/home_agent.h"
#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// A non-idempotent request with the caller's key.
struct KeyedRequest {
  /// What to run, if it is to run here.
  CallSpec spec;
  /// The caller's key.
  RequestKey key;
  /// The table's epoch under which the caller made the key; zero for unknown.
  Epoch created_in;
  /// What an instance sends on: the path and body as the caller sent them.
  std::string entry_path;
  std::string entry_body;
  std::vector<Header> entry_headers;
  /// Whether another instance sent it here as the key's home.
  bool is_forwarded = false;
};

/// Runs non-idempotent requests at most once over all instances: at the home
/// of their key, to which they are forwarded. Thread-safe.
class KeyedRequests {
 public:
  /// Precondition: references outlive this object.
  KeyedRequests(const GatewayContext& context, UpstreamCaller& caller,
                HomeAgent& homes, const PeerDirectory& peers,
                UpstreamClient& client);
  /// Waits for the runs that have begun.
  ~KeyedRequests();
  KeyedRequests(const KeyedRequests&) = delete;
  KeyedRequests& operator=(const KeyedRequests&) = delete;

  /// Runs one request to its end, or answers as an earlier send of it ended.
  /// Blocks until about the deadline at most.
  CallResult Run(const KeyedRequest& request);

  /// The epoch of the newest table of homes known. Thread-safe.
  Epoch epoch() const { return homes_.at_most_once().table().epoch; }

 private:
  /// Runs a claimed request on a thread of its own, and waits for it until the
  /// caller's deadline. The run goes on beyond that: it can't be run again, so
  /// its answer is kept for a re-send.
  CallResult RunHere(const KeyedRequest& request);
  CallResult RunToEnd(const KeyedRequest& request);
  CallResult Forward(const KeyedRequest& request, const Home& home);
  /// The instance that serves the home now: its owner, or its standby where the
  /// owner's process is gone. Nothing where neither answers.
  std::optional<InstanceId> ServerOf(const Home& home) const;

  const GatewayContext context_;
  UpstreamCaller& caller_;
  HomeAgent& homes_;
  const PeerDirectory& peers_;
  UpstreamClient& client_;
  /// Hides Asio, whose headers are slow to compile.
  class Runners;
  std::unique_ptr<Runners> runners_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_KEYED_REQUESTS_H_
