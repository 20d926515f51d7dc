#ifndef BRIARSPREAD_BATCH_JOB_STORE_H_
#define BRIARSPREAD_BATCH_JOB_STORE_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "briarspread/batch/job.h"
#include "briarspread/batch/job_checkpoint.h"
#include "briarspread/core/async_store.h"

namespace briarspread::batch {

/// A job's record and its index in the store, which fences its owner's writes.
struct StoredRecord {
  JobId id;
  JobRecord record;
  StoreIndex index;
};

/// Another write came first: the record as it is now, or none.
struct RecordChanged {
  std::optional<StoredRecord> current;
};

/// The record was written at this index.
struct RecordWritten {
  StoreIndex index;
};

using RecordOutcome = std::variant<RecordWritten, RecordChanged>;

/// What the store holds of a job.
struct StoredJob {
  StoredRecord stored;
  JobSpec spec;
  std::vector<ItemResult> listed;
  /// Text of unfinished items that was kept.
  std::map<ItemId, ItemProgress> progress;
};

/// What an owner writes at once: results that enter the list, and text of items
/// that are under way.
struct JobChunk {
  /// The position of the first result.
  std::uint64_t position = 0;
  std::vector<ItemResult> results;
  /// Numbers the checkpoint among those of this owner.
  std::uint64_t checkpoint_number = 0;
  JobCheckpoint checkpoint;

  bool empty() const { return results.empty() && checkpoint.empty(); }
};

/// Keeps jobs in the platform's store. A job is accepted by one write that
/// fails where the job is known. Results are appended in chunks, each under the
/// condition that the owner's record is unchanged: a new owner writes the
/// record anew, and from then on the old one's writes fail. So no clock and no
/// lease decides. Loop's thread only; functions are called from the loop.
class JobStore final {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Precondition: `store` outlives this object.
  explicit JobStore(AsyncStore& store) : store_(store) {}

  /// Accepts a job unless it is known. Sets `record.spec_parts`.
  void Accept(const JobSpec& spec, JobRecord record, Done<RecordOutcome> done);
  /// Writes the record anew if it is still at `index`.
  void Rewrite(const JobId& id, const JobRecord& record, StoreIndex index,
               Done<RecordOutcome> done);
  /// Writes a chunk, if the record is still at `index`. A chunk is written
  /// once: a repeated call with the same chunk succeeds. Tells that the record
  /// changed otherwise. Precondition: the chunk is not empty.
  void Append(const JobId& id, StoreIndex index, const JobChunk& chunk,
              Done<RecordOutcome> done);
  /// The record; `kNotFound` where the job is not known.
  void ReadRecord(const JobId& id, Done<StoredRecord> done);
  /// The listed results of a job.
  void ReadResults(const JobId& id, Done<std::vector<ItemResult>> done);
  /// The specification of a job. Precondition: `stored` was read.
  void ReadSpec(const StoredRecord& stored, Done<JobSpec> done);
  /// The kept text of a job's unfinished items.
  void ReadProgress(const JobId& id, Done<std::map<ItemId, ItemProgress>> done);
  /// All of a job but its record.
  void ReadJob(const StoredRecord& stored, Done<StoredJob> done);
  /// The records of all jobs.
  void ListRecords(Done<std::vector<StoredRecord>> done);
  /// Drops all of an ended job, if its record is still at `index`.
  void Delete(const StoredRecord& stored, Done<std::monostate> done);

 private:
  void DeleteKeys(const StoredRecord& stored,
                  const std::vector<KeyValue>& results,
                  const Done<std::monostate>& done);

  AsyncStore& store_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_STORE_H_
