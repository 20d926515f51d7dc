#ifndef PROGRAMS_RULES_FLEET_STATUS_H_
#define PROGRAMS_RULES_FLEET_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// The rules revision of an entry instance.
struct InstanceRevision {
  InstanceId instance;
  /// The revision in force on the instance; empty if it could not be queried.
  std::optional<Revision> revision;
  /// Why the instance could not be queried; empty otherwise.
  std::string failure;
};

/// Queries which revision the live entry instances have in force.
class FleetStatus {
 public:
  virtual ~FleetStatus() = default;
  /// Returns one row for each live entry instance in the platform's list,
  /// sorted by name. Fails if the list cannot be read.
  virtual Result<std::vector<InstanceRevision>> Read() = 0;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_FLEET_STATUS_H_
