#ifndef BRIARSPREAD_CORE_BOUNDED_JSON_H_
#define BRIARSPREAD_CORE_BOUNDED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace briarspread {

/// Largest integer that all JSON implementations represent exactly.
inline constexpr std::uint64_t kMaxJsonInteger = std::uint64_t{1} << 53;

/// Bounds on JSON text from a source that is not trusted. A parsed value can
/// take a hundred times the memory of its text, above all when it is deeply
/// nested.
struct JsonBounds {
  /// Maximum size of the text in bytes.
  std::size_t max_bytes = std::size_t{64} * 1024;
  /// Maximum nesting of arrays and objects.
  std::size_t max_depth = 16;
};

/// Parses JSON text. Returns a discarded value if the text is malformed or
/// exceeds the bounds; it is not parsed in the latter case. Thread-safe.
nlohmann::json ParseBoundedJson(std::string_view text,
                                const JsonBounds& bounds);

/// Returns an integer from 0 to `max`; nothing if the value is of another type,
/// negative, fractional or larger. Thread-safe.
std::optional<std::uint64_t> ReadInteger(const nlohmann::json& value,
                                         std::uint64_t max);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_BOUNDED_JSON_H_
