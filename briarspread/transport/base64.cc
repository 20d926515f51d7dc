#include "briarspread/transport/base64.h"

#include <openssl/evp.h>

namespace briarspread {

std::string EncodeBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3), '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  std::size_t padding = 0;
  if (text.ends_with("==")) {
    padding = 2;
  } else if (text.ends_with("=")) {
    padding = 1;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}  // namespace briarspread
