#ifndef BRIARSPREAD_PROXY_GUARDED_RUN_H_
#define BRIARSPREAD_PROXY_GUARDED_RUN_H_

#include <asio/io_context.hpp>
#include <cstdint>

namespace briarspread::proxy {

/// Runs the event loop until it is stopped or out of work. A `std::exception`
/// thrown by a handler is logged as `event=handler_failed` and the loop
/// continues: the fault ends that handler's work, not the process. Returns the
/// number of such exceptions. Must be called on the loop's only thread.
std::uint64_t RunLoopLoggingExceptions(asio::io_context& loop);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_GUARDED_RUN_H_
