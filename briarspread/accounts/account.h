#ifndef BRIARSPREAD_ACCOUNTS_ACCOUNT_H_
#define BRIARSPREAD_ACCOUNTS_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "briarspread/core/strong_value.h"

namespace briarspread::accounts {

/// Name of a client account.
using AccountId = StrongValue<struct AccountIdTag, std::string>;

/// A client account, whose callers authenticate with its API keys.
struct Account {
  AccountId id;
  /// Rank of its requests, which replaces their route's; zero is the most
  /// urgent. Nothing if the route decides.
  std::optional<std::uint32_t> priority;
};

}  // namespace briarspread::accounts

#endif  // BRIARSPREAD_ACCOUNTS_ACCOUNT_H_
