#include "briarspread/batch/job_index.h"

#include <algorithm>

namespace briarspread::batch {

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
