#ifndef BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_
#define BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// What an item's text has gained since the checkpoint before.
struct CheckpointPart {
  ItemId id;
  /// Bytes of text that earlier checkpoints hold; zero begins anew.
  std::uint64_t offset = 0;
  std::string text;
  std::uint64_t events = 0;
  std::uint64_t last_event_id = 0;
  std::vector<WeightVersion> versions;
};

/// Parts that are written together.
using JobCheckpoint = std::vector<CheckpointPart>;

/// CBOR of a checkpoint, for the store. Parsing gives nothing for malformed
/// input. Thread-safe.
std::string Encode(const JobCheckpoint& checkpoint);
std::optional<JobCheckpoint> DecodeJobCheckpoint(const std::string& bytes);

/// Decides what of a job's unfinished text is worth writing to the store.
/// Answers the load in which every process stops at once while a few items,
/// many times as long as the rest, have run for seconds: those that run longest
/// are kept, the others start anew at little loss. Not thread-safe.
class CheckpointPlan final {
 public:
  /// An item is kept once it has so many events, and then in steps of as many.
  explicit CheckpointPlan(std::uint64_t least_events)
      : least_events_(least_events) {}

  /// The part to write for an item now; nothing where it is not worth it.
  std::optional<CheckpointPart> PartFor(const ItemId& id,
                                        const ItemProgress& progress) const;
  /// Notes that the parts were written.
  void MarkWritten(const JobCheckpoint& checkpoint);

 private:
  struct Written {
    std::uint64_t bytes = 0;
    std::uint64_t events = 0;
  };

  const std::uint64_t least_events_;
  std::map<ItemId, Written> written_;
};

/// Puts the text of items together again from checkpoints in the order in which
/// they were written. Parts that do not fit what came before are left out.
/// Thread-safe.
std::map<ItemId, ItemProgress> Assemble(
    const std::vector<JobCheckpoint>& checkpoints);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_
