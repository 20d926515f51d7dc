#include "briarspread/core/result.h"

namespace briarspread {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid-argument";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kForbidden:
      return "forbidden";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::kStale:
      return "stale";
    case ErrorCode::kRefusedForGood:
      return "refused-for-good";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace briarspread
