#ifndef BRIARSPREAD_TRANSPORT_BASE64_H_
#define BRIARSPREAD_TRANSPORT_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace briarspread {

/// Returns `bytes` encoded as padded Base64. Thread-safe.
std::string EncodeBase64(std::string_view bytes);

/// Returns the decoded bytes, or an empty optional if `text` is not padded
/// Base64. Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_BASE64_H_
