#ifndef BRIARSPREAD_PROXY_GUARDED_RUN_H_
#define BRIARSPREAD_PROXY_GUARDED_RUN_H_

#include <asio/io_context.hpp>
#include <cstdint>

namespace briarspread::proxy {

/// Runs the loop until it is stopped or out of work. An exception that leaves a
/// handler is logged as `event=handler_failed`, and the loop goes on: it ends
/// that handler's work, not the process. Returns how many there were. To be
/// called by the loop's one thread.
std::uint64_t RunGuarded(asio::io_context& loop);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_GUARDED_RUN_H_
