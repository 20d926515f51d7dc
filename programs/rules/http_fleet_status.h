#ifndef PROGRAMS_RULES_HTTP_FLEET_STATUS_H_
#define PROGRAMS_RULES_HTTP_FLEET_STATUS_H_

#include <vector>

#include "briarspread/core/instance_list.h"
#include "briarspread/core/upstream_client.h"
#include "programs/rules/fleet_status.h"

namespace briarspread {

/// Queries instances through `GET /v1/status`, several at the same time.
class HttpFleetStatus final : public FleetStatus {
 public:
  /// Precondition: the arguments outlive this object.
  HttpFleetStatus(InstanceList& list, UpstreamClient& client)
      : list_(list), client_(client) {}

  Result<std::vector<InstanceRevision>> Read() override;

 private:
  InstanceRevision QueryInstance(const ListedInstance& listed);

  InstanceList& list_;
  UpstreamClient& client_;
};

}  // namespace briarspread

#endif  // PROGRAMS_RULES_HTTP_FLEET_STATUS_H_
