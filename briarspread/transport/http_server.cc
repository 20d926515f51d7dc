#include "briarspread/transport/http_server.h"

#include <nlohmann/json.hpp>

#include "briarspread/core/http_headers.h"

namespace briarspread {
namespace {

constexpr milliseconds kOneSecond{1000};

/// Returns the value of the `Retry-After` header: `wait` in seconds, rounded
/// up.
std::int64_t RetryAfterSeconds(milliseconds wait) {
  return (wait.count() + kOneSecond.count() - 1) / kOneSecond.count();
}

/// Responds to a request whose handler threw an exception, such as one for a
/// JSON field of an unexpected type.
void RespondToException(const httplib::Request& /*request*/,
                        httplib::Response& response,
                        const std::exception_ptr& thrown) {
  std::string message = "unknown exception";
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& exception) {
    message = exception.what();
  } catch (...) {
  }
  RespondError(response, 500,
               Error{ErrorCode::kInternal, Verdict::kMayHaveRun, message});
}

/// Sets SO_REUSEADDR, so that a restarted process can bind its port without
/// waiting for old connections. The library's default, SO_REUSEPORT, would
/// silently let two processes share the port.
void EnableAddressReuse(socket_t socket) {
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

/// Adds a JSON body and a verdict to error responses that the library generates
/// itself, such as 413.
void RespondToLibraryError(const httplib::Request& /*request*/,
                           httplib::Response& response) {
  if (response.status < 400 || !response.body.empty()) return;
  if (response.has_header(headers::kVerdict)) return;
  RespondError(response, response.status,
               Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                     "the request was refused before it was read whole"});
}

}  // namespace

HttpServer::HttpServer(const HttpServerSettings& settings)
    : settings_(settings) {
  const std::size_t threads = settings.threads;
  server_.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server_.set_payload_max_length(settings.max_body_bytes);
  server_.set_read_timeout(settings.read_timeout);
  server_.set_keep_alive_timeout(settings.keep_alive_timeout.count());
  server_.set_keep_alive_max_count(1'000'000);
  server_.set_tcp_nodelay(true);
  server_.set_error_handler(&RespondToLibraryError);
  server_.set_exception_handler(&RespondToException);
  server_.set_socket_options(&EnableAddressReuse);
}

HttpServer::~HttpServer() { Stop(); }

Status HttpServer::Start() {
  if (!server_.bind_to_port(settings_.listen.host, settings_.listen.port)) {
    return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
                 "cannot listen on " + settings_.listen.host + ":" +
                     std::to_string(settings_.listen.port)};
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return OkStatus();
}

void HttpServer::Stop() {
  server_.stop();
  if (thread_.joinable()) thread_.join();
}

void RespondJson(httplib::Response& response, int status,
                 const std::string& body) {
  response.status = status;
  response.set_content(body, "application/json");
}

void RespondError(httplib::Response& response, int status, const Error& error) {
  nlohmann::json body = {
      {"error", {{"code", ToString(error.code)}, {"message", error.message}}},
      {"verdict", ToString(error.verdict)}};
  response.set_header(headers::kVerdict, std::string(ToString(error.verdict)));
  if (error.retry_after.has_value()) {
    body["retry_after_ms"] = error.retry_after->count();
    response.set_header(headers::kRetryAfter,
                        std::to_string(RetryAfterSeconds(*error.retry_after)));
  }
  RespondJson(response, status, body.dump());
}

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kForbidden:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kStale:
      return 409;
    case ErrorCode::kRefusedForGood:
      return 422;
    case ErrorCode::kOverloaded:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace briarspread
