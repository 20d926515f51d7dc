#ifndef BRIARSPREAD_CORE_BASE64_H_
#define BRIARSPREAD_CORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace briarspread {

/// Returns `bytes` in standard base64 with padding. Thread-safe.
std::string EncodeBase64(std::string_view bytes);
/// Returns the bytes that `text` encodes, or nullopt for malformed text.
/// Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_BASE64_H_
