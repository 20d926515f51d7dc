#ifndef BRIARSPREAD_BATCH_REWARD_RUN_H_
#define BRIARSPREAD_BATCH_REWARD_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "briarspread/batch/job.h"
#include "briarspread/forward/live_request.h"

namespace briarspread::batch {

/// Outcome of a reward call.
struct RewardOutcome {
  /// The signature of the answer; empty if the call failed.
  std::string score;
  /// Number of failures that upstreams answered with.
  std::uint32_t upstream_errors = 0;
  /// Number of such failures after which the item may be given up; nothing if
  /// the call found no route.
  std::optional<std::uint32_t> max_attempts;
};

/// Sends one reward call through the route of its host and path. The call is
/// idempotent. Loop's thread only.
class RewardRun final : public forward::ResponseSink {
 public:
  using Done = std::function<void(const RewardOutcome&)>;

  /// Precondition: `context` outlives this object. `done` may destroy this
  /// object.
  RewardRun(forward::ForwardContext& context, const RewardCall& call,
            Done done);
  ~RewardRun() override;

  /// Sends the call. If there is no route, it fails: `done` is called later,
  /// from the loop.
  void Start();

  void OnResponse(proxy::Response answer) override;
  void OnResponseHead(const proxy::ResponseHead& head) override;
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd() override;
  void OnResponseAborted() override;

 private:
  /// Takes the signature of a successful response as the score.
  void TakeScore(const proxy::ResponseHead& head);
  void Finish();
  /// Ends a call whose response does not end.
  void Abandon();

  forward::ForwardContext& context_;
  const RewardCall call_;
  Done done_;
  RewardOutcome outcome_;
  std::shared_ptr<forward::LiveRequest> request_;
  LoopTimer timer_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_REWARD_RUN_H_
