#include "briarspread/core/bounded_json.h"

#include <algorithm>

namespace briarspread {
namespace {

/// Returns the maximum nesting of arrays and objects in JSON text.
std::size_t NestingOf(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool is_string = false;
  bool is_escaped = false;
  for (const char c : text) {
    if (is_string) {
      is_string = is_escaped || c != '"';
      is_escaped = !is_escaped && c == '\\';
    } else if (c == '"') {
      is_string = true;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

}  // namespace

nlohmann::json ParseBoundedJson(std::string_view text,
                                const JsonBounds& bounds) {
  using Json = nlohmann::json;
  if (text.size() > bounds.max_bytes || NestingOf(text) > bounds.max_depth) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text, nullptr, false);
}

std::optional<std::uint64_t> ReadInteger(const nlohmann::json& value,
                                         std::uint64_t max) {
  if (!value.is_number_unsigned()) return std::nullopt;
  const auto number = value.get<std::uint64_t>();
  if (number > max) return std::nullopt;
  return number;
}

}  // namespace briarspread
