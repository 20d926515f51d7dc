#include "briarspread/gateway/error_body.h"

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

ErrorCode ParseCode(const std::string& name) {
  for (const ErrorCode code :
       {ErrorCode::kInvalidArgument, ErrorCode::kUnauthenticated,
        ErrorCode::kForbidden, ErrorCode::kNotFound, ErrorCode::kConflict,
        ErrorCode::kOverloaded, ErrorCode::kUnavailable,
        ErrorCode::kDeadlineExceeded, ErrorCode::kStale,
        ErrorCode::kRefusedForGood}) {
    if (ToString(code) == name) return code;
  }
  return ErrorCode::kInternal;
}

}  // namespace

Error ParseErrorBody(const std::string& body) {
  Error error{ErrorCode::kInternal, Verdict::kMayHaveRun,
              "an answer without a verdict"};
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object() || !json.contains("verdict") ||
      !json["verdict"].is_string()) {
    return error;
  }
  const Json& inner = json["error"];
  if (!inner.contains("code") || !inner["code"].is_string() ||
      !inner.contains("message") || !inner["message"].is_string()) {
    return error;
  }
  const auto verdict = ParseVerdict(json["verdict"].get<std::string>());
  if (!verdict.has_value() || *verdict == Verdict::kAnswered) return error;
  error.verdict = *verdict;
  error.code = ParseCode(inner["code"].get<std::string>());
  error.message = inner["message"].get<std::string>();
  if (json.contains("retry_after_ms") &&
      json["retry_after_ms"].is_number_unsigned()) {
    error.retry_after =
        milliseconds(json["retry_after_ms"].get<std::int64_t>());
  }
  return error;
}

}  // namespace briarspread
