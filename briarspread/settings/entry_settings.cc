#include "briarspread/settings/entry_settings.h"

#include <nlohmann/json.hpp>

#include "briarspread/settings/entry_settings_schema.h"
#include "briarspread/settings/json_schema.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

Endpoint ReadEndpoint(const Json& json) {
  return Endpoint{json["host"].get<std::string>(),
                  json["port"].get<std::uint16_t>()};
}

template <typename Unit>
Unit ReadDuration(const Json& json, const char* key, Unit fallback) {
  return Unit(json.value(key, fallback.count()));
}

EntrySettings FromJson(const Json& json) {
  EntrySettings settings;
  settings.instance = InstanceId(json["instance"].get<std::string>());
  settings.locality.zone = ZoneId(json["zone"].get<std::string>());
  settings.locality.region = RegionId(json["region"].get<std::string>());
  settings.listen = ReadEndpoint(json["listen"]);
  settings.platform = ReadEndpoint(json["platform"]);
  settings.http_threads = json.value("http_threads", settings.http_threads);
  settings.max_body_bytes =
      json.value("max_body_bytes", settings.max_body_bytes);
  settings.read_timeout =
      ReadDuration(json, "read_timeout_ms", settings.read_timeout);
  settings.drain_limit =
      ReadDuration(json, "drain_limit_s", settings.drain_limit);
  settings.poll_interval =
      ReadDuration(json, "poll_interval_ms", settings.poll_interval);
  settings.heartbeat_interval =
      ReadDuration(json, "heartbeat_interval_ms", settings.heartbeat_interval);
  settings.store_region =
      RegionId(json.value("store_region", settings.locality.region.value()));
  settings.peer_key = json.value("peer_key", "");
  settings.peer_authentication = json.value("peer_authentication", true);
  settings.trace_file = json.value("trace_file", "");
  settings.data_folder = json.value("data_folder", "");
  return settings;
}

}  // namespace

Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source) {
  const auto checked = ParseAndValidate(text, source, kEntrySettingsSchema);
  if (!IsOk(checked)) return ErrorOf(checked);
  EntrySettings settings = FromJson(ValueOf(checked));
  if (settings.peer_authentication && settings.peer_key.empty()) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 source +
                     ": key /peer_key: found nothing; allowed: a string of 16 "
                     "to 256 characters, or peer_authentication set to false"};
  }
  return settings;
}

Result<EntrySettings> LoadEntrySettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!IsOk(text)) return ErrorOf(text);
  return ParseEntrySettings(ValueOf(text), path);
}

}  // namespace briarspread
