#ifndef PROGRAMS_RULES_FLEET_STATUS_H_
#define PROGRAMS_RULES_FLEET_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// What one entry instance says of its rules.
struct InstanceRevision {
  /// The instance.
  InstanceId instance;
  /// The revision in force there; empty where it did not answer.
  std::optional<Revision> revision;
  /// Why it did not.
  std::string failure;
};

/// Asks the live entry instances which revision they have in force.
class FleetStatus {
 public:
  virtual ~FleetStatus() = default;
  /// One row for each live entry instance of the platform's list, by name.
  virtual Result<std::vector<InstanceRevision>> Read() = 0;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_FLEET_STATUS_H_
