#ifndef BRIARSPREAD_GATEWAY_PEER_SEAL_H_
#define BRIARSPREAD_GATEWAY_PEER_SEAL_H_

#include <string>
#include <string_view>

namespace briarspread {

/// Returns the HMAC-SHA-256 of `text` under the instances' shared key, in
/// hexadecimal. Thread-safe.
std::string SealOf(std::string_view key, std::string_view text);

/// Whether `seal` is the seal of `text`. Compares seals of the right length in
/// constant time. Thread-safe.
bool IsSealOf(std::string_view key, std::string_view text,
              std::string_view seal);

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_PEER_SEAL_H_
