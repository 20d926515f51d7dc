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
  /// Idle connections kept for each endpoint.
  std::size_t idle_per_endpoint = 64;
};

/// Calls upstreams over HTTP/1.1 by cpp-httplib. Thread-safe: each exchange has
/// a connection of its own while it lasts.
class HttpUpstreamClient final : public UpstreamClient {
 public:
  /// Precondition: `clock` outlives this object.
  HttpUpstreamClient(const HttpUpstreamClientSettings& settings,
                     const Clock& clock);
  ~HttpUpstreamClient() override;

  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* receiver) override;

 private:
  std::unique_ptr<httplib::Client> Acquire(const UpstreamRequest& request);
  void Release(const Endpoint& endpoint,
               std::unique_ptr<httplib::Client> client);

  /// As given.
  const HttpUpstreamClientSettings settings_;
  /// Bounds an exchange as a whole; the library bounds single reads only.
  const Clock& clock_;
  /// Guards `idle_`.
  std::mutex mutex_;
  /// Kept connections whose last exchange ended whole.
  std::map<Endpoint, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
