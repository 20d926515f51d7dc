#include "briarspread/gateway/peer_seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>

namespace briarspread {

std::string SealOf(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const unsigned char* made =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data(), &size);
  assert(made != nullptr);
  static_cast<void>(made);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kDigits[digest[i] >> 4U]);
    hex.push_back(kDigits[digest[i] & 15U]);
  }
  return hex;
}

bool IsSealOf(std::string_view key, std::string_view text,
              std::string_view seal) {
  const std::string expected = SealOf(key, text);
  return seal.size() == expected.size() &&
         CRYPTO_memcmp(seal.data(), expected.data(), expected.size()) == 0;
}

}  // namespace briarspread
