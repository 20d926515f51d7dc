#ifndef BRIARSPREAD_BATCH_JOB_VALIDATION_H_
#define BRIARSPREAD_BATCH_JOB_VALIDATION_H_

#include <optional>
#include <string>

#include "briarspread/batch/job.h"
#include "briarspread/core/result.h"

namespace briarspread::batch {

/// Returns the name of a field of an item that has text which may not stand in
/// the head of a request, such as a line end; nothing if there is none. Such an
/// item can never be run. Thread-safe.
std::optional<std::string> FindInvalidField(const ItemSpec& item);

/// Returns `kInvalidArgument` with the item and the field that may not be sent,
/// if a job has one. Thread-safe.
Status Validate(const JobSpec& spec);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_VALIDATION_H_
