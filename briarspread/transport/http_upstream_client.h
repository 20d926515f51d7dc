#ifndef BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_
#define BRIARSPREAD_TRANSPORT_HTTP_UPSTREAM_CLIENT_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>

#include "briarspread/core/upstream_client.h"
#include "briarspread/proxy/connection_pool.h"

namespace briarspread {

/// Calls upstreams over HTTP/1.1 through a `ConnectionPool`, so that one parser
/// reads all responses of the project. The pool runs on a thread of its own;
/// receivers are called on the calling thread. The pool's limits hold for idle
/// connections and for the size of a response. Thread-safe.
class HttpUpstreamClient final : public UpstreamClient {
 public:
  HttpUpstreamClient();
  /// Precondition: no exchange is in flight.
  ~HttpUpstreamClient() override;
  HttpUpstreamClient(const HttpUpstreamClient&) = delete;
  HttpUpstreamClient& operator=(const HttpUpstreamClient&) = delete;

  /// Resolves a host name first; the time for that is not part of
  /// `request.timeout`.
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
