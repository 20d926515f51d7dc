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

/// One batch and the cursor that follows it. A trainer that saves its state
/// saves both in one write; then each group reaches that state exactly once.
struct TrainerBatch {
  /// The reply as JSON text; empty where no group came in time.
  std::string body;
  /// Where the next pull starts.
  std::string cursor;
  /// Whether the step has no more groups.
  bool is_whole = false;

  bool empty() const { return body.empty(); }
};

/// Pulls a trainer's samples. Keeps the steps and the open step's cursor, so
/// that any instance can serve any pull and a step can be posted again to one
/// that does not know it. Not thread-safe.
class TrainerClient {
 public:
  /// Preconditions: `entries` is not empty; `client` outlives this object.
  TrainerClient(TrainerId trainer, std::vector<Endpoint> entries,
                UpstreamClient& client);

  /// Submits a step ahead of its need, without opening it; idempotent. `body`
  /// is the step as JSON text. Fails where no instance takes it.
  Status Announce(StepNumber step, const std::string& body);
  /// Submits a step, if it is not announced, and opens it: pulls are from it.
  /// Earlier steps are forgotten.
  Status PutStep(StepNumber step, const std::string& body);
  /// Opens a step where a saved state left it. The step is posted again to the
  /// instance that serves it.
  void Resume(StepNumber step, const std::string& body,
              const std::string& cursor);

  /// Pulls the next batch. The cursor moves on only with a whole answer.
  /// `kInvalidArgument` and `kConflict` are final.
  Result<TrainerBatch> NextBatch(WeightVersion newest);

  /// Where the next pull starts.
  const std::string& cursor() const { return cursor_; }

 private:
  /// Returns the step's opening cursor.
  Result<std::string> PutStepAt(std::size_t entry, StepNumber step);
  /// As `PutStepAt`, on the first instance that takes it.
  Result<std::string> PutStepAnywhere(StepNumber step);
  Result<TrainerBatch> PullFrom(std::size_t entry, WeightVersion newest);

  const TrainerId trainer_;
  const std::vector<Endpoint> entries_;
  UpstreamClient& client_;
  /// The instance that served last.
  std::size_t current_entry_ = 0;
  /// The open step.
  StepNumber step_{0};
  /// Steps announced or open, as JSON text.
  std::map<StepNumber, std::string> bodies_;
  std::string cursor_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_TRAINER_CLIENT_H_
