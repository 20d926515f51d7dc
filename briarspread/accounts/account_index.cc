#include "briarspread/accounts/account_index.h"

#include <openssl/sha.h>

namespace briarspread::accounts {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest{};
  static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return digest;
}

std::string FormatDigest(const KeyDigest& digest) {
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

std::optional<KeyDigest> ParseDigest(std::string_view text) {
  KeyDigest digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t value = kDigits.find(text[i]);
    if (value == std::string_view::npos) return std::nullopt;
    digest[i / 2] = static_cast<unsigned char>((digest[i / 2] << 4U) | value);
  }
  return digest;
}

std::size_t AccountIndex::Add(const Account& account,
                              const std::vector<KeyDigest>& keys) {
  is_enabled_ = true;
  accounts_.push_back(account);
  std::size_t skipped = 0;
  for (const KeyDigest& key : keys) {
    skipped += !by_key_.try_emplace(key, accounts_.size() - 1).second;
  }
  return skipped;
}

const Account* AccountIndex::FindByKey(std::string_view key) const {
  const auto it = by_key_.find(DigestOf(key));
  return it == by_key_.end() ? nullptr : &accounts_[it->second];
}

}  // namespace briarspread::accounts
