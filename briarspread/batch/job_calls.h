#ifndef BRIARSPREAD_BATCH_JOB_CALLS_H_
#define BRIARSPREAD_BATCH_JOB_CALLS_H_

#include <string>

#include "briarspread/batch/job.h"
#include "briarspread/core/result.h"

namespace briarspread::batch {

/// Request target of an instance's job index in its peer interface.
inline constexpr char kIndexPath[] = "/v1/job-index";

/// Returns the request target of a job in the peer interface of another
/// instance. Thread-safe.
inline std::string JobTarget(const JobId& id) {
  return "/v1/jobs/" + proxy::EncodeParameter(id.value());
}

/// Returns the key that selects the home of a job; see `HomeOrder`. Jobs of one
/// host and model share it, so all jobs of one trainer run on the same instance
/// instead of a few on each. That instance then knows the load of the trainer's
/// engines, needs few connections to them, and has cached the text that a later
/// step requests again. Thread-safe.
inline std::string HomeKeyOf(const JobSpec& spec) {
  return spec.host + spec.model.value();
}

/// Returns an error for an operation that was not executed and may be retried.
/// Thread-safe.
inline Error UnavailableError(const std::string& why) {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun, why};
}

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_CALLS_H_
