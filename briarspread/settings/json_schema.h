#ifndef BRIARSPREAD_SETTINGS_JSON_SCHEMA_H_
#define BRIARSPREAD_SETTINGS_JSON_SCHEMA_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "briarspread/core/result.h"

namespace briarspread {

/// Parses `text` and validates it against a JSON Schema. An error names
/// `source`, the key, the value found and the values allowed. Precondition:
/// `schema` is a valid JSON Schema. Thread-safe.
Result<nlohmann::json> ParseAndValidate(const std::string& text,
                                        const std::string& source,
                                        const std::string& schema);

/// Returns the contents of a file, or an error that names the file.
/// Thread-safe.
Result<std::string> ReadFile(const std::string& path);

}  // namespace briarspread

#endif  // BRIARSPREAD_SETTINGS_JSON_SCHEMA_H_
