#ifndef BRIARSPREAD_TRANSPORT_BASE64_H_
#define BRIARSPREAD_TRANSPORT_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace briarspread {

/// Base64 of `bytes`, by OpenSSL. Thread-safe.
std::string EncodeBase64(std::string_view bytes);

/// The bytes that `text` encodes, or nothing where it is no base64.
/// Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_BASE64_H_
