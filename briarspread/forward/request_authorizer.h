#ifndef BRIARSPREAD_FORWARD_REQUEST_AUTHORIZER_H_
#define BRIARSPREAD_FORWARD_REQUEST_AUTHORIZER_H_

#include <optional>

#include "briarspread/accounts/account.h"
#include "briarspread/forward/configuration.h"
#include "briarspread/forward/exchange_headers.h"
#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {

/// Whether a request may go on, and on whose behalf.
struct Authorization {
  bool is_allowed = false;
  /// The account of the request's key. Nothing if no key was needed.
  std::optional<accounts::Account> account;
};

/// Decides which account a request belongs to. All entrances ask here: live
/// requests and streams, and submissions, reads and ends of batch jobs. `route`
/// is the request's route, or null for a request without one, which needs a key
/// wherever accounts are configured. Thread-safe.
Authorization Authorize(const Configuration& configuration, const Route* route,
                        const proxy::HeaderList& headers,
                        const ExchangeHeaders& names);

/// Prepares a request's headers for an upstream: removes the caller's key, and
/// sets the account's name, or removes it if there is no account. Has no effect
/// where no accounts are configured. Thread-safe.
void SetAccountHeaders(const Configuration& configuration,
                       const ExchangeHeaders& names,
                       const std::optional<accounts::AccountId>& account,
                       proxy::HeaderList& headers);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_REQUEST_AUTHORIZER_H_
