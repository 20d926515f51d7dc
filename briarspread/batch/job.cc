#include "briarspread/batch/job.h"

#include <nlohmann/json.hpp>

namespace briarspread::batch {
namespace {

using Json = nlohmann::json;

std::string ToBytes(const Json& json) {
  std::string out;
  Json::to_cbor(json, out);
  return out;
}

/// Decodes `bytes` as CBOR and converts the result with `read`; nothing for
/// malformed input.
template <typename T, typename Read>
std::optional<T> FromBytes(const std::string& bytes, const Read& read) {
  const Json json = Json::from_cbor(bytes, true, false);
  if (json.is_discarded()) return std::nullopt;
  try {
    return read(json);
  } catch (const Json::exception&) {
    // Malformed input; the caller handles the error.
    return std::nullopt;
  }
}

Json ToJson(const ItemSpec& item) {
  Json headers = Json::array();
  for (const proxy::Header& line : item.headers) {
    headers.push_back({line.name, line.value});
  }
  Json json = {{"id", item.id.value()},
               {"path", item.path},
               {"headers", std::move(headers)},
               {"body", item.body},
               {"group", item.group.value()},
               {"prompt_tokens", item.prompt_tokens},
               {"expected_tokens", item.expected_tokens}};
  if (item.reward.has_value()) {
    json["reward"] = {{"id", item.reward->id},
                      {"host", item.reward->host},
                      {"path", item.reward->path},
                      {"body", item.reward->body}};
  }
  return json;
}

ItemSpec ItemFrom(const Json& json) {
  ItemSpec item;
  item.id = ItemId(json.at("id").get<std::string>());
  item.path = json.at("path").get<std::string>();
  for (const Json& line : json.at("headers")) {
    item.headers.push_back(
        {line.at(0).get<std::string>(), line.at(1).get<std::string>()});
  }
  item.body = json.at("body").get<std::string>();
  item.group = ItemGroup(json.at("group").get<std::string>());
  item.prompt_tokens = json.at("prompt_tokens").get<std::uint64_t>();
  item.expected_tokens = json.at("expected_tokens").get<std::uint64_t>();
  if (const auto it = json.find("reward"); it != json.end()) {
    item.reward = RewardCall{
        it->at("id").get<std::string>(), it->at("host").get<std::string>(),
        it->at("path").get<std::string>(), it->at("body").get<std::string>()};
  }
  return item;
}

Json ToJson(const ItemResult& result) {
  Json versions = Json::array();
  for (const WeightVersion& version : result.versions) {
    versions.push_back(version.value());
  }
  return {{"id", result.id.value()},
          {"complete", result.is_complete},
          {"text", result.text},
          {"versions", std::move(versions)},
          {"score", result.score}};
}

ItemResult ResultFrom(const Json& json) {
  ItemResult result;
  result.id = ItemId(json.at("id").get<std::string>());
  result.is_complete = json.at("complete").get<bool>();
  result.text = json.at("text").get<std::string>();
  for (const Json& version : json.at("versions")) {
    result.versions.emplace_back(version.get<std::uint64_t>());
  }
  result.score = json.at("score").get<std::string>();
  return result;
}

Json ToJson(const std::vector<ItemResult>& results) {
  Json json = Json::array();
  for (const ItemResult& result : results) json.push_back(ToJson(result));
  return json;
}

std::vector<ItemResult> ResultsFrom(const Json& json) {
  std::vector<ItemResult> results;
  for (const Json& result : json) results.push_back(ResultFrom(result));
  return results;
}

/// Sets the account of a job; omitted without one, so that the encoding of jobs
/// without accounts is unchanged.
void SetAccount(const accounts::AccountId& account, Json& json) {
  if (!account.value().empty()) json["account"] = account.value();
}

/// Sets the configuration that a job needs; omitted if it is not known.
void SetConfiguration(forward::ConfigurationVersion version, Json& json) {
  if (version.value() > 0) json["configuration"] = version.value();
}

forward::ConfigurationVersion ConfigurationFrom(const Json& json) {
  return forward::ConfigurationVersion(
      json.value("configuration", std::uint64_t{0}));
}

accounts::AccountId AccountFrom(const Json& json) {
  return accounts::AccountId(json.value("account", ""));
}

}  // namespace

bool MayAccess(const JobRecord& record,
               const std::optional<accounts::AccountId>& caller) {
  return !caller.has_value() || record.account.value().empty() ||
         record.account == *caller;
}

std::string Encode(const JobSpec& spec) {
  Json items = Json::array();
  for (const ItemSpec& item : spec.items) items.push_back(ToJson(item));
  Json json = {{"id", spec.id.value()},
               {"host", spec.host},
               {"path", spec.path},
               {"step", spec.step},
               {"model", spec.model.value()},
               {"oldest_allowed", spec.oldest_allowed.value()},
               {"target_groups", spec.target_groups},
               {"items", std::move(items)}};
  SetAccount(spec.account, json);
  SetConfiguration(spec.configuration, json);
  return ToBytes(json);
}

std::optional<JobSpec> DecodeJobSpec(const std::string& bytes) {
  return FromBytes<JobSpec>(bytes, [](const Json& json) {
    JobSpec spec;
    spec.id = JobId(json.at("id").get<std::string>());
    spec.host = json.at("host").get<std::string>();
    spec.path = json.at("path").get<std::string>();
    spec.step = json.at("step").get<std::uint64_t>();
    spec.model = ModelName(json.at("model").get<std::string>());
    spec.oldest_allowed =
        WeightVersion(json.at("oldest_allowed").get<std::uint64_t>());
    spec.target_groups = json.at("target_groups").get<std::uint64_t>();
    for (const Json& item : json.at("items")) {
      spec.items.push_back(ItemFrom(item));
    }
    spec.account = AccountFrom(json);
    spec.configuration = ConfigurationFrom(json);
    return spec;
  });
}

std::string Encode(const std::vector<ItemResult>& results) {
  return ToBytes(ToJson(results));
}

std::optional<std::vector<ItemResult>> DecodeResults(const std::string& bytes) {
  return FromBytes<std::vector<ItemResult>>(bytes, ResultsFrom);
}

std::string Encode(const ResultPage& page) {
  return ToBytes({{"total", page.total},
                  {"next", page.next},
                  {"results", ToJson(page.results)}});
}

std::optional<ResultPage> DecodeResultPage(const std::string& bytes) {
  return FromBytes<ResultPage>(bytes, [](const Json& json) {
    return ResultPage{json.at("total").get<std::uint64_t>(),
                      json.at("next").get<std::uint64_t>(),
                      ResultsFrom(json.at("results"))};
  });
}

std::string Encode(const JobRecord& record) {
  const auto submitted = std::chrono::duration_cast<milliseconds>(
      record.submitted.time_since_epoch());
  Json json = {{"owner", record.owner.value()},
               {"incarnation", record.incarnation.value()},
               {"host", record.owner_endpoint.host},
               {"port", record.owner_endpoint.port},
               {"submitted_ms", submitted.count()},
               {"total", record.total},
               {"spec_parts", record.spec_parts},
               {"home_key", record.home_key},
               {"ended", record.is_ended}};
  SetAccount(record.account, json);
  SetConfiguration(record.configuration, json);
  if (!record.model.value().empty()) json["model"] = record.model.value();
  return ToBytes(json);
}

std::optional<JobRecord> DecodeJobRecord(const std::string& bytes) {
  return FromBytes<JobRecord>(bytes, [](const Json& json) {
    JobRecord record;
    record.owner = InstanceId(json.at("owner").get<std::string>());
    record.incarnation =
        Incarnation(json.at("incarnation").get<std::uint64_t>());
    record.owner_endpoint.host = json.at("host").get<std::string>();
    record.owner_endpoint.port = json.at("port").get<std::uint16_t>();
    record.submitted =
        WallTime(milliseconds(json.at("submitted_ms").get<std::int64_t>()));
    record.total = json.at("total").get<std::uint64_t>();
    record.spec_parts = json.at("spec_parts").get<std::uint32_t>();
    record.home_key = json.at("home_key").get<std::string>();
    record.is_ended = json.at("ended").get<bool>();
    record.account = AccountFrom(json);
    record.configuration = ConfigurationFrom(json);
    record.model = ModelName(json.value("model", ""));
    return record;
  });
}

}  // namespace briarspread::batch
