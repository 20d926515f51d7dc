#ifndef BRIARSPREAD_BATCH_JOB_CALLS_H_
#define BRIARSPREAD_BATCH_JOB_CALLS_H_

#include <string>

#include "briarspread/batch/job.h"
#include "briarspread/core/result.h"

namespace briarspread::batch {

/// The path of another instance's interface that concerns a job. Thread-safe.
inline std::string JobTarget(const JobId& id) {
  return "/v1/jobs/" + proxy::EncodeParameter(id.value());
}

/// What names the instance that runs a trainer's jobs; see `HomeOrder`.
/// Thread-safe.
inline std::string HomeKeyOf(const JobSpec& spec) {
  return spec.host + spec.model.value();
}

/// Says that nothing was done, and that another try may help. Thread-safe.
inline Error UnavailableError(const std::string& why) {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun, why};
}

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_CALLS_H_
