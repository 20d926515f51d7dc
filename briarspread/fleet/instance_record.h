#ifndef BRIARSPREAD_FLEET_INSTANCE_RECORD_H_
#define BRIARSPREAD_FLEET_INSTANCE_RECORD_H_

#include <nlohmann/json.hpp>
#include <string>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// One start of the program on an instance, as it registers itself.
struct InstanceRecord {
  InstanceId name;
  /// Names this start; differs from that of every other start.
  Incarnation incarnation;
  /// Where peers call it.
  Endpoint peer_endpoint;
  Locality locality;
  /// Whether it is stopping and takes no more work from peers.
  bool is_leaving = false;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

void to_json(nlohmann::json& json, const InstanceRecord& record);
/// Throws nlohmann::json::exception on bad input.
void from_json(const nlohmann::json& json, InstanceRecord& record);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_INSTANCE_RECORD_H_
