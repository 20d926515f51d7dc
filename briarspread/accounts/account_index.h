#ifndef BRIARSPREAD_ACCOUNTS_ACCOUNT_INDEX_H_
#define BRIARSPREAD_ACCOUNTS_ACCOUNT_INDEX_H_

#include <array>
#include <cstddef>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarspread/accounts/account.h"

namespace briarspread::accounts {

/// SHA-256 digest of an API key. Keys are compared and passed between instances
/// by their digests only, so that neither a log line nor a message between
/// instances contains a key.
using KeyDigest = std::array<unsigned char, 32>;

/// Returns the digest of a key. Thread-safe.
KeyDigest DigestOf(std::string_view key);
/// Converts a digest to and from lowercase hexadecimal digits. Parsing returns
/// nothing for malformed text. Thread-safe.
std::string FormatDigest(const KeyDigest& digest);
std::optional<KeyDigest> ParseDigest(std::string_view text);

/// The client accounts of one configuration, by API key. Immutable once the
/// configuration is in force; const functions are thread-safe.
///
/// A key is looked up by its digest. How long a look-up takes depends on the
/// digest only, from which the key cannot be derived, so timing reveals nothing
/// about a key and no constant-time comparison is needed.
class AccountIndex final {
 public:
  /// Adds an account. Keys that belong to an account already keep it; returns
  /// how many of `keys` were skipped for that reason.
  std::size_t Add(const Account& account, const std::vector<KeyDigest>& keys);
  /// Requires keys of all callers even if there are no accounts.
  void SetEnabled() { is_enabled_ = true; }

  /// Returns the account that a key belongs to, or null. The pointer is valid
  /// as long as the index.
  const Account* FindByKey(std::string_view key) const;
  /// Whether callers need a key.
  bool is_enabled() const { return is_enabled_; }
  std::size_t account_count() const { return accounts_.size(); }

 private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest& digest) const {
      std::size_t hash = 0;
      std::memcpy(&hash, digest.data(), sizeof(hash));
      return hash;
    }
  };

  bool is_enabled_ = false;
  std::vector<Account> accounts_;
  /// Positions in `accounts_`.
  std::unordered_map<KeyDigest, std::size_t, DigestHash> by_key_;
};

}  // namespace briarspread::accounts

#endif  // BRIARSPREAD_ACCOUNTS_ACCOUNT_INDEX_H_
