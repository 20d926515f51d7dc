#ifndef BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
#define BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "briarspread/core/upstream_client.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace briarspread {

/// Settings of `HttpUpstreamClient`.
struct HttpUpstreamClientSettings {
  /// Maximum number of idle connections kept for each endpoint.
  std::size_t max_idle_per_endpoint = 64;
};

/// Calls upstreams over HTTP/1.1, based on cpp-httplib. Thread-safe: each
/// exchange uses a connection exclusively.
class HttpUpstreamClient final : public UpstreamClient {
 public:
  /// Precondition: `clock` outlives this object.
  HttpUpstreamClient(const HttpUpstreamClientSettings& settings,
                     const Clock& clock);
  ~HttpUpstreamClient() override;

  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* receiver) override;

 private:
  /// Returns an idle connection if the request may reuse one and one exists,
  /// else a new one.
  std::unique_ptr<httplib::Client> Acquire(const UpstreamRequest& request);
  /// Keeps the connection for reuse unless the endpoint has the maximum number
  /// of idle connections.
  void Release(const Endpoint& endpoint,
               std::unique_ptr<httplib::Client> client);

  const HttpUpstreamClientSettings settings_;
  /// Measures the deadline of a whole exchange; the library's timeouts bound
  /// only single reads.
  const Clock& clock_;
  /// Guards `idle_`.
  std::mutex mutex_;
  /// Idle connections whose last exchange was complete.
  std::map<Endpoint, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
