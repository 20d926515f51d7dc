#ifndef BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
#define BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>

#include "briarspread/core/upstream_client.h"
#include "briarspread/proxy/connection_pool.h"

namespace briarspread {

/// Calls upstreams over HTTP/1.1. A thread of its own runs the connections and
/// reads the answers, so that these are judged as everywhere else in the
/// project; receivers are called on the calling thread. Thread-safe.
class HttpUpstreamClient final : public UpstreamClient {
 public:
  HttpUpstreamClient();
  /// Precondition: no exchange is in flight.
  ~HttpUpstreamClient() override;
  HttpUpstreamClient(const HttpUpstreamClient&) = delete;
  HttpUpstreamClient& operator=(const HttpUpstreamClient&) = delete;

  /// A host name is resolved first, which its resolver alone limits in time.
  ExchangeOutcome Exchange(const UpstreamRequest& request,
                           ResponseReceiver* receiver) override;

 private:
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  /// Used on the loop's thread only.
  proxy::ConnectionPool pool_;
  std::thread thread_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
