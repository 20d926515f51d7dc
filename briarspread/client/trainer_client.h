#ifndef BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_
#define BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_

#include <map>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// A batch of groups and the cursor after it. A trainer that stores the effects
/// of the batch and the cursor in one write applies each group exactly once.
struct TrainerBatch {
  /// The response as JSON text; empty if no group was ready in time.
  std::string body;
  /// The cursor of the next pull.
  std::string cursor;
  /// Whether the step has no further groups to deliver.
  bool is_whole = false;

  bool empty() const { return body.empty(); }
};

/// Pulls a trainer's samples from the entry instances. Stores the submitted
/// steps and the cursor of the open step, so that every instance can serve a
/// pull: the steps are submitted again to an instance that does not have them.
/// Not thread-safe.
class TrainerClient {
 public:
  /// Preconditions: `entries` is not empty; `client` outlives this object.
  TrainerClient(TrainerId trainer, std::vector<Endpoint> entries,
                UpstreamClient& client);

  /// Submits a step in advance without opening it. `body` is the step as JSON
  /// text. Idempotent. Returns `kUnavailable` if no instance accepted the step;
  /// `kInvalidArgument` and `kConflict` are final.
  Status SubmitStep(StepNumber step, const std::string& body);
  /// Submits a step and opens it, so that `NextBatch` pulls from its start. The
  /// step may have been submitted in advance. Discards earlier steps. Returns
  /// the errors of `SubmitStep`.
  Status OpenStep(StepNumber step, const std::string& body);
  /// Opens a step at a stored cursor and discards earlier steps. Sends nothing:
  /// the step is submitted on the next pull if the instance does not have it.
  void Resume(StepNumber step, const std::string& body,
              const std::string& cursor);

  /// Pulls the next batch; `newest` is the newest weight version that the
  /// trainer has. The cursor advances only when a complete response was
  /// received. Returns `kUnavailable` if no instance served the pull;
  /// `kInvalidArgument` and `kConflict` are final.
  Result<TrainerBatch> NextBatch(WeightVersion newest);

  /// The cursor of the next pull.
  const std::string& cursor() const { return cursor_; }

 private:
  /// Submits a stored step to one instance. Returns the cursor of its start.
  Result<std::string> SubmitStepTo(std::size_t entry, StepNumber step);
  /// Submits a stored step to the first instance that accepts or finally
  /// rejects it, starting with the current one. Returns the cursor of its
  /// start.
  Result<std::string> SubmitStepToAny(StepNumber step);
  /// Pulls the next batch from one instance, without advancing the cursor.
  Result<TrainerBatch> PullFrom(std::size_t entry, WeightVersion newest);

  const TrainerId trainer_;
  const std::vector<Endpoint> entries_;
  UpstreamClient& client_;
  /// Index of the instance that responded last; the first to be called next.
  std::size_t current_entry_ = 0;
  /// The open step.
  StepNumber step_{0};
  /// The open step and the steps submitted in advance, as JSON text.
  std::map<StepNumber, std::string> step_bodies_;
  std::string cursor_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_
