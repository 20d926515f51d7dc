#ifndef BRIARSPREAD_GATEWAY_TRAINER_JSON_H_
#define BRIARSPREAD_GATEWAY_TRAINER_JSON_H_

#include <string>

#include "briarspread/rollout/rollout_scheduler.h"

namespace briarspread {

/// The JSON text of a batch; `cursor` is the text of its next cursor.
/// Thread-safe.
std::string FormatBatch(const Batch& batch, const std::string& cursor);

/// The JSON body of the request that an engine gets for `run`. Thread-safe.
std::string FormatCompletion(const SampleRun& run);

/// The JSON body of the request that a scoring service gets. Thread-safe.
std::string FormatScoring(const ScoringTask& task);

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_TRAINER_JSON_H_
