#ifndef BRIARSPREAD_CORE_INSTANCE_LIST_H_
#define BRIARSPREAD_CORE_INSTANCE_LIST_H_

#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// The platform's list of live and leaving instances. It lags behind the truth.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  /// The list as the platform now shows it. Safe to call from any thread.
  virtual Result<std::vector<ListedInstance>> Read() = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_INSTANCE_LIST_H_
