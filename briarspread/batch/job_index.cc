#include "briarspread/batch/job_index.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace briarspread::batch {

using Json = nlohmann::json;

void JobIndex::Put(const StoredRecord& stored) {
  const auto [it, is_new] = jobs_.try_emplace(stored.id, stored);
  if (!is_new && it->second.index < stored.index) it->second = stored;
  if (jobs_.size() <= max_jobs_) return;
  const auto oldest = std::min_element(
      jobs_.begin(), jobs_.end(), [](const auto& a, const auto& b) {
        return a.second.record.submitted < b.second.record.submitted;
      });
  jobs_.erase(oldest);
}

const StoredRecord* JobIndex::Find(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::string EncodeRecords(const std::map<JobId, StoredRecord>& records) {
  Json rows = Json::array();
  for (const auto& [id, stored] : records) {
    const std::string record = Encode(stored.record);
    rows.push_back({id.value(), stored.index.value(),
                    Json::binary({record.begin(), record.end()})});
  }
  std::string bytes;
  Json::to_cbor(rows, bytes);
  return bytes;
}

std::optional<std::vector<StoredRecord>> DecodeRecords(
    const std::string& bytes) {
  const Json rows = Json::from_cbor(bytes, true, false);
  if (!rows.is_array()) return std::nullopt;
  try {
    std::vector<StoredRecord> records;
    for (const Json& row : rows) {
      const auto& packed = row.at(2).get_binary();
      auto record = DecodeJobRecord(std::string(packed.begin(), packed.end()));
      if (!record.has_value()) return std::nullopt;
      records.push_back({JobId(row.at(0).get<std::string>()),
                         std::move(*record),
                         StoreIndex(row.at(1).get<std::uint64_t>())});
    }
    return records;
  } catch (const Json::exception&) {
    // Malformed; the caller lists the store.
    return std::nullopt;
  }
}

std::optional<std::uint64_t> JobIndex::ItemsAtOnce(
    const ModelName& model) const {
  std::uint64_t open = 0;
  std::uint64_t largest = 0;
  for (const auto& [id, stored] : jobs_) {
    const JobRecord& record = stored.record;
    if (!record.is_ended && record.model.value().empty()) return std::nullopt;
    if (record.model != model) continue;
    largest = std::max(largest, record.total);
    if (!record.is_ended) open += record.total;
  }
  if (largest == 0) return std::nullopt;
  return std::max(open, largest);
}

}  // namespace briarspread::batch
