#ifndef BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_
#define BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_

#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// Pulls a trainer's samples. Keeps the step and its cursor together, so that
/// any instance can serve any pull and the step can be posted again to one that
/// does not know it. Not thread-safe.
class TrainerClient {
 public:
  /// Preconditions: `entries` is not empty; `client` outlives this object.
  TrainerClient(TrainerId trainer, std::vector<Endpoint> entries,
                UpstreamClient& client);

  /// Submits a step; idempotent. `body` is the step as JSON text. Fails where
  /// no instance takes it.
  Status PutStep(StepNumber step, const std::string& body);

  /// Pulls the next batch, as JSON text; empty where none came in time. The
  /// cursor moves on only with a whole answer.
  Result<std::string> NextBatch(WeightVersion newest);

  /// Where the next pull starts. Store it with the batch.
  const std::string& cursor() const { return cursor_; }

 private:
  Status PutStepAt(std::size_t entry);
  Result<std::string> PullFrom(std::size_t entry, WeightVersion newest);

  const TrainerId trainer_;
  const std::vector<Endpoint> entries_;
  UpstreamClient& client_;
  /// The instance that served last.
  std::size_t current_entry_ = 0;
  StepNumber step_{0};
  std::string step_body_;
  std::string cursor_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_
