#include "briarspread/forward/request_authorizer.h"

#include <string>

namespace briarspread::forward {

Authorization Authorize(const Configuration& configuration, const Route* route,
                        const proxy::HeaderList& headers,
                        const ExchangeHeaders& names) {
  const bool needs_key = configuration.accounts.is_enabled() &&
                         (route == nullptr || !route->is_public);
  if (!needs_key) return Authorization{true, std::nullopt};
  const std::string* key = headers.Find(names.api_key);
  const accounts::Account* account =
      key == nullptr ? nullptr : configuration.accounts.FindByKey(*key);
  if (account == nullptr) return Authorization{};
  return Authorization{true, *account};
}

void SetAccountHeaders(const Configuration& configuration,
                       const ExchangeHeaders& names,
                       const std::optional<accounts::AccountId>& account,
                       proxy::HeaderList& headers) {
  if (!configuration.accounts.is_enabled()) return;
  headers.Remove(names.api_key);
  if (account.has_value()) {
    headers.Set(names.account, account->value());
  } else {
    headers.Remove(names.account);
  }
}

}  // namespace briarspread::forward
