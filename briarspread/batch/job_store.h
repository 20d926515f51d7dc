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

/// The record of a job and its index in the store, which fences the writes of
/// earlier owners.
struct StoredRecord {
  JobId id;
  JobRecord record;
  StoreIndex index;
};

/// The write failed because the record had changed or been deleted. `current`
/// is the present record; empty if there is none or it cannot be parsed.
struct RecordChanged {
  std::optional<StoredRecord> current;
};

/// The write succeeded. `index` is the index of the record after it.
struct RecordWritten {
  StoreIndex index;
};

using RecordOutcome = std::variant<RecordWritten, RecordChanged>;

/// All that the store holds about a job.
struct StoredJob {
  StoredRecord stored;
  JobSpec spec;
  std::vector<ItemResult> listed;
  /// Progress of items from checkpoints.
  std::map<ItemId, ItemProgress> progress;
};

/// The content of one write of an owner: results that are appended to the list,
/// and a checkpoint of unfinished items.
struct JobChunk {
  /// Position of the first result in the list.
  std::uint64_t position = 0;
  std::vector<ItemResult> results;
  /// Sequence number of the checkpoint among those of this owner.
  std::uint64_t checkpoint_number = 0;
  JobCheckpoint checkpoint;

  bool empty() const { return results.empty() && checkpoint.empty(); }
};

/// Stores jobs in the platform's store. A job is accepted in one write, which
/// fails if the store already knows the job. Results are appended in chunks,
/// each on the condition that the owner's record is unchanged. A new owner
/// rewrites the record, so that all later writes of the previous owner fail:
/// ownership depends on neither clocks nor leases. Loop's thread only;
/// callbacks run on the loop's thread.
class JobStore final {
 public:
  template <typename T>
  using Done = AsyncStore::Done<T>;

  /// Precondition: `store` outlives this object.
  explicit JobStore(AsyncStore& store) : store_(store) {}

  /// Stores a new job; reports `RecordChanged` if the store already knows it.
  /// Sets `record.spec_parts`. Fails with `kInvalidArgument` if the job is too
  /// large for one transaction.
  void Accept(const JobSpec& spec, JobRecord record, Done<RecordOutcome> done);
  /// Replaces the record if it is still at `index`.
  void ReplaceRecord(const JobId& id, const JobRecord& record, StoreIndex index,
                     Done<RecordOutcome> done);
  /// Writes a chunk if the record is still at `index` and the store has no
  /// other chunk at its position, and reports `RecordChanged` otherwise; with
  /// the record at `index` in the latter case. A chunk is written once; a
  /// repeated call with the same chunk succeeds. Precondition: the chunk is not
  /// empty.
  void Append(const JobId& id, StoreIndex index, const JobChunk& chunk,
              Done<RecordOutcome> done);
  /// Reads the record of a job; fails with `kNotFound` if the store does not
  /// know the job.
  void ReadRecord(const JobId& id, Done<StoredRecord> done);
  /// Reads the listed results of a job. Fails if the listing misses some.
  void ReadResults(const JobId& id, Done<std::vector<ItemResult>> done);
  /// Reads the specification of a job. Precondition: `stored` was read from the
  /// store.
  void ReadSpec(const StoredRecord& stored, Done<JobSpec> done);
  /// Reads the progress of a job's items from its checkpoints.
  void ReadProgress(const JobId& id, Done<std::map<ItemId, ItemProgress>> done);
  /// Reads the specification, the listed results and the progress of a job.
  void ReadJob(const StoredRecord& stored, Done<StoredJob> done);
  /// Reads the records of all jobs; leaves out those that cannot be parsed.
  void ListRecords(Done<std::vector<StoredRecord>> done);
  /// Deletes the results, the specification and the record of a job, in several
  /// transactions if need be, as long as the record stays at its index.
  /// Checkpoints are not deleted.
  void Delete(const StoredRecord& stored, Done<std::monostate> done);

 private:
  void DeleteKeys(const StoredRecord& stored,
                  const std::vector<KeyValue>& chunks,
                  const Done<std::monostate>& done);

  AsyncStore& store_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_STORE_H_
