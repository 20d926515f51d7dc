#ifndef BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_SCHEMA_H_
#define BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_SCHEMA_H_

namespace briarspread {

/// JSON Schema (draft 7) of an entry instance's settings file.
inline constexpr char kEntrySettingsSchema[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "zone", "region", "listen", "platform"],
  "definitions": {
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["host", "port"],
      "properties": {
        "host": {"type": "string", "minLength": 1,
                 "description": "an IP number"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    }
  },
  "properties": {
    "instance": {"type": "string", "minLength": 1, "maxLength": 64},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "region": {"type": "string", "minLength": 1, "maxLength": 64},
    "listen": {"$ref": "#/definitions/endpoint"},
    "platform": {"$ref": "#/definitions/endpoint"},
    "store_region": {"type": "string", "minLength": 1, "maxLength": 64},
    "http_threads": {"type": "integer", "minimum": 8, "maximum": 4096},
    "max_body_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 67108864},
    "read_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
    "drain_limit_s": {"type": "integer", "minimum": 1, "maximum": 7200},
    "poll_interval_ms": {"type": "integer", "minimum": 50, "maximum": 10000},
    "heartbeat_interval_ms": {"type": "integer", "minimum": 50,
                              "maximum": 10000},
    "peer_key": {"type": "string", "minLength": 16, "maxLength": 256},
    "peer_authentication": {"type": "boolean"},
    "trace_file": {"type": "string"},
    "data_folder": {"type": "string"}
  }
})json";

}  // namespace briarspread

#endif  // BRIARSPREAD_SETTINGS_ENTRY_SETTINGS_SCHEMA_H_
