#ifndef BRIARSPREAD_FLEET_INSTANCE_RECORD_H_
#define BRIARSPREAD_FLEET_INSTANCE_RECORD_H_

#include <nlohmann/json.hpp>
#include <string>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// The registration of one start of the program on an instance.
struct InstanceRecord {
  InstanceId name;
  /// Identifies this start of the program; differs from every other start's.
  Incarnation incarnation;
  /// Endpoint that other instances call.
  Endpoint peer_endpoint;
  Locality locality;
  /// Whether the instance is stopping and accepts no more work from peers.
  bool is_leaving = false;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

void to_json(nlohmann::json& json, const InstanceRecord& record);
/// Throws nlohmann::json::exception if a field is missing or has another type.
void from_json(const nlohmann::json& json, InstanceRecord& record);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_INSTANCE_RECORD_H_
