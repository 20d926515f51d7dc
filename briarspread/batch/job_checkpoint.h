#ifndef BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_
#define BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// Text that an item has gained since its previous checkpoint.
struct CheckpointPart {
  ItemId id;
  /// Number of bytes of the text that earlier checkpoints hold; zero if this
  /// part replaces them.
  std::uint64_t offset = 0;
  std::string text;
  std::uint64_t events = 0;
  std::uint64_t last_event_id = 0;
  std::vector<WeightVersion> versions;
  /// The software version that generated the text; empty in parts that an
  /// older build wrote.
  SoftwareVersion software{};
  /// Hash of the whole text up to the end of this part; not encoded.
  std::uint64_t text_hash = 0;
};

/// Parts of several items that are written together.
using JobCheckpoint = std::vector<CheckpointPart>;

/// Converts a checkpoint to CBOR for the store and back. Decoding returns
/// nothing for malformed input. Thread-safe.
std::string Encode(const JobCheckpoint& checkpoint);
std::optional<JobCheckpoint> DecodeJobCheckpoint(const std::string& bytes);

/// Decides which unfinished text of a job to write to the store. Designed for
/// the case that all processes stop at once while a few items, many times
/// longer than the rest, have been running for seconds: the text of these items
/// is kept, while the others can restart at little cost. Not thread-safe.
class CheckpointPlan final {
 public:
  /// An item is written each time that it has gained `min_new_events` events.
  explicit CheckpointPlan(std::uint64_t min_new_events)
      : min_new_events_(min_new_events) {}

  /// Returns the part to write for an item now; nothing if it has gained too
  /// few events.
  std::optional<CheckpointPart> PartFor(const ItemId& id,
                                        const ItemProgress& progress) const;
  /// Records that the store holds the parts.
  void MarkWritten(const JobCheckpoint& checkpoint);

 private:
  struct Written {
    std::uint64_t bytes = 0;
    std::uint64_t events = 0;
    /// Hash of the text that was written.
    std::uint64_t text_hash = 0;
  };

  const std::uint64_t min_new_events_;
  std::map<ItemId, Written> written_;
};

/// Chooses the parts that fit together into `max_bytes` of encoded size, those
/// with the most text first. The others stay for later checkpoints; a part that
/// alone exceeds `max_bytes` is logged and left out. Thread-safe.
JobCheckpoint LimitCheckpoint(JobCheckpoint parts, std::size_t max_bytes);

/// Restores the progress of items from checkpoints in the order in which they
/// were written. Ignores parts that do not continue the text before them.
/// Thread-safe.
std::map<ItemId, ItemProgress> AssembleProgress(
    const std::vector<JobCheckpoint>& checkpoints);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_CHECKPOINT_H_
