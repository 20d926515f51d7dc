#ifndef BRIARSPREAD_BATCH_JOB_HANDOVER_H_
#define BRIARSPREAD_BATCH_JOB_HANDOVER_H_

#include <map>
#include <optional>
#include <string>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// Progress of unlisted items that an owner passes on when it hands a job over.
/// It only saves time: a new owner can run the job without it.
struct JobHandover {
  std::map<ItemId, ItemProgress> progress;
};

/// Converts a handover to CBOR for calls between instances and back. Decoding
/// returns nothing for malformed input. Thread-safe.
std::string Encode(const JobHandover& handover);
std::optional<JobHandover> DecodeJobHandover(const std::string& bytes);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_HANDOVER_H_
