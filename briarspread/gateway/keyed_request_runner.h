#ifndef BRIARSPREAD_GATEWAY_KEYED_REQUEST_RUNNER_H_
#define BRIARSPREAD_GATEWAY_KEYED_REQUEST_RUNNER_H_

#include <memory>

#include "briarspread/gateway/home_agent.h"
#include "briarspread/gateway/upstream_call.h"

namespace briarspread {

/// A non-idempotent request with the idempotency key that its caller sent.
struct KeyedRequest {
  /// The call to make if the request runs on this instance.
  CallSpec spec;
  /// The idempotency key.
  RequestKey key;
  /// The epoch of the home table when the caller created the key; zero if
  /// unknown.
  Epoch created_in;
  /// The path, body and headers as the caller sent them, for forwarding to the
  /// key's home.
  std::string entry_path;
  std::string entry_body;
  std::vector<Header> entry_headers;
  /// Whether another instance forwarded the request here as to the key's home.
  bool is_forwarded = false;
};

/// Runs non-idempotent requests at most once across all instances. A request
/// runs at the home of its key; other instances forward it there. Thread-safe.
class KeyedRequestRunner {
 public:
  /// Precondition: references outlive this object.
  KeyedRequestRunner(const GatewayContext& context, UpstreamCaller& caller,
                     HomeAgent& homes, const PeerDirectory& peers,
                     UpstreamClient& client);
  /// Waits for the runs in progress.
  ~KeyedRequestRunner();
  KeyedRequestRunner(const KeyedRequestRunner&) = delete;
  KeyedRequestRunner& operator=(const KeyedRequestRunner&) = delete;

  /// Runs one request, or returns the stored answer if it was sent before.
  /// Blocks until about the request's deadline at most.
  CallResult Run(const KeyedRequest& request);

  /// Returns the epoch of the newest home table known. Thread-safe.
  Epoch epoch() const { return homes_.at_most_once().table().epoch; }

 private:
  /// Runs a claimed request on a pool thread and waits for it until the
  /// caller's deadline. The run continues after that deadline: the request
  /// cannot run again, so its answer is stored for a retry with the same key.
  CallResult RunLocally(const KeyedRequest& request);
  CallResult RunToEnd(const KeyedRequest& request);
  CallResult Forward(const KeyedRequest& request, const Home& home);
  /// Returns the instance that serves the home now: its owner, or its standby
  /// if the owner's process is dead. Returns `std::nullopt` if the owner is
  /// unresponsive or not probed yet, or if neither is alive.
  std::optional<InstanceId> FindServer(const Home& home) const;

  const GatewayContext context_;
  UpstreamCaller& caller_;
  HomeAgent& homes_;
  const PeerDirectory& peers_;
  UpstreamClient& client_;
  /// The thread pool; declared here only, since Asio headers are slow to
  /// compile.
  class Workers;
  std::unique_ptr<Workers> workers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_KEYED_REQUEST_RUNNER_H_
