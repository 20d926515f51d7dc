#ifndef BRIARSPREAD_GATEWAY_TRAINER_JSON_H_
#define BRIARSPREAD_GATEWAY_TRAINER_JSON_H_

#include <string>

#include "briarspread/rollout/rollout_scheduler.h"

namespace briarspread {

/// Returns the JSON text of a batch; `cursor` is the cursor for the next batch.
/// Thread-safe.
std::string FormatBatch(const Batch& batch, const std::string& cursor);

/// Returns the JSON body of the request to an engine for `run`. Thread-safe.
std::string FormatCompletion(const SampleRun& run);

/// Returns the JSON body of the request to a scoring service. Thread-safe.
std::string FormatScoring(const ScoringTask& task);

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_TRAINER_JSON_H_
