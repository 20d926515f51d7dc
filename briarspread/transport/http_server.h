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
  /// The address that the server listens on.
  Endpoint listen;
  /// Number of worker threads. Each open connection occupies one, so this is
  /// also the maximum number of connections served at a time.
  std::size_t threads = 256;
  /// Maximum size of a request body in bytes; larger ones are refused with 413.
  std::size_t max_body_bytes = 1 << 20;
  /// Maximum time to wait for further bytes of a request.
  milliseconds read_timeout{5000};
  /// Time after which an idle connection is closed.
  seconds keep_alive_timeout{5};
};

/// An HTTP server that serves each connection on one thread of a pool, based on
/// cpp-httplib. Routes must be added to `routes()` before `Start`. Only `Stop`
/// may be called from other threads.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerSettings& settings);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the server of the library, for adding routes. Precondition:
  /// `Start` was not called.
  httplib::Server& routes() { return server_; }

  /// Binds the address and accepts connections on a background thread. Returns
  /// `kUnavailable` if the address cannot be bound, such as one in use.
  Status Start();

  /// Stops accepting connections and blocks until the requests in flight have
  /// finished.
  void Stop();

 private:
  const HttpServerSettings settings_;
  httplib::Server server_;
  /// Runs the accept loop; joinable between `Start` and `Stop`.
  std::thread thread_;
};

/// Sets the status and a JSON body.
void RespondJson(httplib::Response& response, int status,
                 const std::string& body);

/// Sets the status and describes `error` in the response: a JSON body with its
/// code, message, verdict and retry time, and headers with the verdict and the
/// retry time.
void RespondError(httplib::Response& response, int status, const Error& error);

/// Returns the HTTP status for `code`.
int HttpStatusOf(ErrorCode code);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_HTTP_SERVER_H_
