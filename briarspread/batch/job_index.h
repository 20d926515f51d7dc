#ifndef BRIARSPREAD_BATCH_JOB_INDEX_H_
#define BRIARSPREAD_BATCH_JOB_INDEX_H_

#include <map>
#include <optional>
#include <vector>

#include "briarspread/batch/job_store.h"
#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// What this instance has heard of jobs: who runs which. A hint; the store
/// decides. The oldest entries go first. Not thread-safe.
class JobIndex final {
 public:
  /// `max_jobs` bounds the entries.
  explicit JobIndex(std::size_t max_jobs) : max_jobs_(max_jobs) {}

  /// Takes a record unless a later one is known.
  void Put(const StoredRecord& stored);
  void Erase(const JobId& id) { jobs_.erase(id); }
  /// The latest record known; null for none. Valid until the next change.
  const StoredRecord* Find(const JobId& id) const;
  const std::map<JobId, StoredRecord>& all() const { return jobs_; }

 private:
  const std::size_t max_jobs_;
  std::map<JobId, StoredRecord> jobs_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_INDEX_H_
