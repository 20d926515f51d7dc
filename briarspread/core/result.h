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

/// Why an operation failed.
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

/// The code's name in JSON bodies, such as `invalid-argument`. Thread-safe.
std::string_view ToString(ErrorCode code);

/// A failed operation, and whether it may have taken effect.
struct Error {
  /// Why it failed.
  ErrorCode code = ErrorCode::kInternal;
  /// Whether the operation may have taken effect.
  Verdict verdict = Verdict::kNotRun;
  /// What went wrong, in words for the person who reads the log or answer.
  std::string message;
  /// When to come back; empty where coming back does not help.
  std::optional<milliseconds> retry_after = std::nullopt;
};

/// A value, or the error in its place.
template <typename T>
using Result = std::variant<T, Error>;

/// A result that carries no value.
using Status = Result<std::monostate>;

/// The status of an operation that worked.
inline Status OkStatus() { return std::monostate{}; }

/// Whether `result` holds a value.
template <typename T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// The value. Precondition: `IsOk(result)`.
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

/// The error. Precondition: not `IsOk(result)`.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  assert(!IsOk(result));
  return *std::get_if<Error>(&result);
}

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RESULT_H_
