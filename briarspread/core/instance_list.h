#ifndef BRIARSPREAD_CORE_INSTANCE_LIST_H_
#define BRIARSPREAD_CORE_INSTANCE_LIST_H_

#include <vector>

#include "briarspread/core/result.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// The platform's list of live and leaving instances. It may be stale.
/// Implementations are thread-safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  /// Returns the list as the platform currently reports it.
  virtual Result<std::vector<ListedInstance>> Read() = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_INSTANCE_LIST_H_
