#include "briarspread/proxy/guarded_run.h"

#include <glog/logging.h>

#include <exception>

namespace briarspread::proxy {

std::uint64_t RunLoopLoggingExceptions(asio::io_context& loop) {
  std::uint64_t failures = 0;
  while (true) {
    try {
      loop.run();
      return failures;
    } catch (const std::exception& error) {
      ++failures;
      LOG(ERROR) << "event=handler_failed reason=\"" << error.what() << "\"";
    }
  }
}

}  // namespace briarspread::proxy
