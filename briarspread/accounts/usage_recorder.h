#ifndef BRIARSPREAD_ACCOUNTS_USAGE_RECORDER_H_
#define BRIARSPREAD_ACCOUNTS_USAGE_RECORDER_H_

#include "briarspread/accounts/account.h"
#include "briarspread/core/clock.h"

namespace briarspread::accounts {

/// Receives the usage of client accounts. Called on the event loop's thread.
class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;
  /// Records that an upstream began to run a caller's request of this account
  /// at `began`. Called at most once for each request, after the fact.
  virtual void RecordStart(const AccountId& account, TimePoint began) = 0;
};

}  // namespace briarspread::accounts

#endif  // BRIARSPREAD_ACCOUNTS_USAGE_RECORDER_H_
