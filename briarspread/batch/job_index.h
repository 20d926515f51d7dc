#ifndef BRIARSPREAD_BATCH_JOB_INDEX_H_
#define BRIARSPREAD_BATCH_JOB_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/batch/job_store.h"
#include "briarspread/core/clock.h"

namespace briarspread::batch {

/// Index of the jobs known to this instance and their owners. May be stale or
/// incomplete; the store is authoritative. Evicts the oldest jobs first. Not
/// thread-safe.
class JobIndex final {
 public:
  /// `max_jobs` is the maximum number of entries.
  explicit JobIndex(std::size_t max_jobs) : max_jobs_(max_jobs) {}

  /// Stores a record unless a later one is known.
  void Put(const StoredRecord& stored);
  void Erase(const JobId& id) { jobs_.erase(id); }
  /// Returns the latest known record; null if there is none. Valid until the
  /// next change of the index.
  const StoredRecord* Find(const JobId& id) const;
  /// Returns the number of items of a model that run at once at most: those of
  /// all open jobs, or of its largest known job. Nothing if no job of the model
  /// is known, or the model of an open job is not.
  std::optional<std::uint64_t> ItemsAtOnce(const ModelName& model) const;
  const std::map<JobId, StoredRecord>& all() const { return jobs_; }

 private:
  const std::size_t max_jobs_;
  std::map<JobId, StoredRecord> jobs_;
};

/// Encode the records of an index for another instance, in CBOR. Decoding
/// returns nothing for malformed input. Thread-safe.
std::string EncodeRecords(const std::map<JobId, StoredRecord>& records);
std::optional<std::vector<StoredRecord>> DecodeRecords(
    const std::string& bytes);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_INDEX_H_
