#ifndef BRIARSPREAD_BATCH_JOB_HANDOVER_H_
#define BRIARSPREAD_BATCH_JOB_HANDOVER_H_

#include <map>
#include <optional>
#include <string>

#include "briarspread/batch/item_progress.h"
#include "briarspread/batch/job.h"

namespace briarspread::batch {

/// What an owner that stops has of a job: text that is not listed yet. Worth
/// time only; a new owner does without it.
struct JobHandover {
  std::map<ItemId, ItemProgress> progress;
};

/// CBOR of a handover, for the way between instances. Parsing gives nothing for
/// malformed input. Thread-safe.
std::string Encode(const JobHandover& handover);
std::optional<JobHandover> DecodeJobHandover(const std::string& bytes);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_HANDOVER_H_
