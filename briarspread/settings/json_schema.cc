#include "briarspread/settings/json_schema.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

Error InvalidSettings(const std::string& source, const std::string& message) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               source + ": " + message};
}

/// Returns the key that a validation error refers to, as a JSON pointer, or a
/// phrase for the root of the document.
std::string KeyPointerOf(const valijson::ValidationResults::Error& error) {
  std::string key;
  for (const std::string& step : error.context) {
    if (step == "<root>") continue;
    std::string name = step;
    if (name.starts_with("[")) name = name.substr(1, name.size() - 2);
    key += "/" + name;
  }
  return key.empty() ? "the whole file" : key;
}

std::string FormatValueAt(const Json& document, const std::string& key) {
  if (!key.starts_with("/")) return document.type_name();
  const Json::json_pointer pointer(key);
  return document.contains(pointer) ? document[pointer].dump() : "nothing";
}

std::string FormatAllowedAt(const Json& schema, const std::string& key) {
  if (!key.starts_with("/")) {
    std::string names;
    for (const auto& [name, unused] : schema["properties"].items()) {
      names += (names.empty() ? "" : ", ") + name;
    }
    return "an object with the keys " + names;
  }
  const std::string name = key.substr(1, key.find('/', 1) - 1);
  Json allowed = schema["properties"].value(name, Json());
  if (allowed.contains("$ref")) {
    const std::string ref = allowed["$ref"].get<std::string>();
    allowed = schema[Json::json_pointer(ref.substr(1))]["properties"];
  }
  return allowed.is_null() ? "no such key" : allowed.dump();
}

}  // namespace

Result<Json> ParseAndValidate(const std::string& text,
                              const std::string& source,
                              const std::string& schema_text) {
  Json document;
  try {
    document = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return InvalidSettings(source, std::string("not JSON: ") + error.what());
  }
  const Json schema_json = Json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json);
  parser.populateSchema(schema_adapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter document_adapter(document);
  if (validator.validate(schema, document_adapter, &results)) return document;
  // The first error is the most deeply nested one; later errors only report
  // that its parents are invalid.
  valijson::ValidationResults::Error first;
  results.popError(first);
  const std::string key = KeyPointerOf(first);
  return InvalidSettings(
      source, "key " + key + ": found " + FormatValueAt(document, key) + "; " +
                  first.description +
                  "; allowed: " + FormatAllowedAt(schema_json, key));
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 path + ": cannot be read"};
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

}  // namespace briarspread
