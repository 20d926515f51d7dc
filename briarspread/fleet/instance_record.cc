#include "briarspread/fleet/instance_record.h"

namespace briarspread {

void to_json(nlohmann::json& json, const InstanceRecord& record) {
  json = {{"name", record.name.value()},
          {"incarnation", record.incarnation.value()},
          {"host", record.peer_endpoint.host},
          {"port", record.peer_endpoint.port},
          {"zone", record.locality.zone.value()},
          {"region", record.locality.region.value()},
          {"leaving", record.is_leaving}};
}

void from_json(const nlohmann::json& json, InstanceRecord& record) {
  record.name = InstanceId(json.at("name").get<std::string>());
  record.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  record.peer_endpoint.host = json.at("host").get<std::string>();
  record.peer_endpoint.port = json.at("port").get<std::uint16_t>();
  record.locality.zone = ZoneId(json.at("zone").get<std::string>());
  record.locality.region = RegionId(json.at("region").get<std::string>());
  record.is_leaving = json.at("leaving").get<bool>();
}

}  // namespace briarspread
