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

}  // namespace briarspread::batch
