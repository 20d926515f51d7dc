#ifndef BRIARSPREAD_TRANSPORT_HTTP_SERVER_H_
#define BRIARSPREAD_TRANSPORT_HTTP_SERVER_H_

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include "briarspread/core/clock.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// Settings of `HttpServer`.
struct HttpServerSettings {
  /// Where to listen.
  Endpoint listen;
  /// Threads; one serves each open connection, so this bounds connections.
  std::size_t threads = 256;
  /// The largest body taken, in bytes; a larger one is refused with 413.
  std::size_t max_body_bytes = 1 << 20;
  /// How long a slow sender may pause within a request.
  milliseconds read_timeout{5000};
  /// How long an idle connection is kept.
  seconds keep_alive{5};
};

/// An HTTP server with a thread for each connection, by cpp-httplib.
/// Add routes to `routes()` before `Start`. Not thread-safe, but for `Stop`.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerSettings& settings);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Where routes are added. Precondition: not started.
  httplib::Server& routes() { return server_; }

  /// Binds and serves on a thread of its own. Fails where the address is taken.
  Status Start();

  /// Stops accepting, lets requests in flight finish, and returns then.
  void Stop();

 private:
  /// As given.
  const HttpServerSettings settings_;
  /// The library's server.
  httplib::Server server_;
  /// Runs the accept loop.
  std::thread thread_;
};

/// Answers with a JSON body.
void RespondJson(httplib::Response& response, int status,
                 const std::string& body);

/// Answers with an error: its code, message, verdict and retry time, in headers
/// and in the JSON body alike.
void RespondError(httplib::Response& response, int status, const Error& error);

/// The HTTP status that names `code`.
int HttpStatusOf(ErrorCode code);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_HTTP_SERVER_H_
