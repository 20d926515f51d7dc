#include "briarspread/proxy/exchange.h"

namespace briarspread::proxy {

std::string_view ToString(ExchangeFault fault) {
  switch (fault) {
    case ExchangeFault::kNotConnected:
      return "not_connected";
    case ExchangeFault::kBroken:
      return "broken";
    case ExchangeFault::kGarbled:
      return "garbled";
    case ExchangeFault::kTimedOut:
      return "timed_out";
    case ExchangeFault::kInvalidRequest:
      return "invalid_request";
  }
  return "unknown";
}

}  // namespace briarspread::proxy
