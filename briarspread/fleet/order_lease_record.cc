#include "briarspread/fleet/order_lease_record.h"

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

std::optional<InstanceId> ReadName(const Json& json, const char* field) {
  const auto it = json.find(field);
  if (it == json.end()) return std::nullopt;
  return InstanceId(it->get<std::string>());
}

}  // namespace

std::string Encode(const OrderLeaseRecord& record) {
  Json json = {{"wait_ms", record.wait.count()}};
  if (record.holder.has_value()) {
    json["holder"] = record.holder->value();
    json["incarnation"] = record.incarnation.value();
  }
  if (record.last_sender.has_value()) {
    json["last_sender"] = record.last_sender->value();
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<OrderLeaseRecord> ParseOrderLeaseRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    OrderLeaseRecord record;
    record.wait = milliseconds(json.at("wait_ms").get<std::int64_t>());
    record.holder = ReadName(json, "holder");
    record.last_sender = ReadName(json, "last_sender");
    if (record.holder.has_value()) {
      record.incarnation =
          Incarnation(json.at("incarnation").get<std::uint64_t>());
    }
    return record;
  } catch (const Json::exception&) {
    // The caller treats a malformed record like that of an unknown holder.
    return std::nullopt;
  }
}

}  // namespace briarspread
