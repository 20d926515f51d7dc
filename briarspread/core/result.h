#ifndef BRIARSPREAD_CORE_RESULT_H_
#define BRIARSPREAD_CORE_RESULT_H_

#include <cassert>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "briarspread/core/clock.h"
#include "briarspread/core/verdict.h"

namespace briarspread {

/// Cause of a failed operation.
enum class ErrorCode {
  kInvalidArgument,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kOverloaded,
  kUnavailable,
  kDeadlineExceeded,
  kStale,
  kRefusedForGood,
  kInternal,
};

/// Returns the code's name in JSON bodies, such as `invalid-argument`.
/// Thread-safe.
std::string_view ToString(ErrorCode code);

/// Describes a failed operation.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// Whether the operation may have taken effect.
  Verdict verdict = Verdict::kNotRun;
  /// Description of the cause for readers of logs and responses.
  std::string message;
  /// Time after which the caller may retry. Unset if a retry does not help.
  std::optional<milliseconds> retry_after = std::nullopt;
};

/// A value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// Result of an operation that returns no value.
using Status = Result<std::monostate>;

/// Returns the status of a successful operation.
inline Status OkStatus() { return std::monostate{}; }

/// Returns whether `result` holds a value.
template <typename T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// Returns the value. Precondition: `IsOk(result)`.
template <typename T>
T& ValueOf(Result<T>& result) {
  assert(IsOk(result));
  return *std::get_if<T>(&result);
}
template <typename T>
const T& ValueOf(const Result<T>& result) {
  assert(IsOk(result));
  return *std::get_if<T>(&result);
}

/// Returns the error. Precondition: not `IsOk(result)`.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  assert(!IsOk(result));
  return *std::get_if<Error>(&result);
}

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RESULT_H_
