#include "briarspread/batch/job_handover.h"

#include <nlohmann/json.hpp>

namespace briarspread::batch {

using Json = nlohmann::json;

std::string Encode(const JobHandover& handover) {
  Json items = Json::array();
  for (const auto& [id, progress] : handover.progress) {
    Json versions = Json::array();
    for (const WeightVersion& version : progress.versions()) {
      versions.push_back(version.value());
    }
    items.push_back({{"id", id.value()},
                     {"text", progress.text()},
                     {"events", progress.events()},
                     {"last", progress.last_event_id()},
                     {"versions", std::move(versions)},
                     {"software", progress.software().value()}});
  }
  std::string bytes;
  Json::to_cbor({{"items", std::move(items)}}, bytes);
  return bytes;
}

std::optional<JobHandover> DecodeJobHandover(const std::string& bytes) {
  const Json json = Json::from_cbor(bytes, true, false);
  if (json.is_discarded()) return std::nullopt;
  try {
    JobHandover handover;
    for (const Json& item : json.at("items")) {
      std::vector<WeightVersion> versions;
      for (const Json& version : item.at("versions")) {
        versions.emplace_back(version.get<std::uint64_t>());
      }
      handover.progress.emplace(
          ItemId(item.at("id").get<std::string>()),
          ItemProgress(item.at("text").get<std::string>(),
                       item.at("events").get<std::uint64_t>(),
                       item.at("last").get<std::uint64_t>(),
                       std::move(versions),
                       SoftwareVersion(item.value("software", ""))));
    }
    return handover;
  } catch (const Json::exception&) {
    // Malformed input; the caller handles the error.
    return std::nullopt;
  }
}

}  // namespace briarspread::batch
