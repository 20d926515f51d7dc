#include "briarspread/client/trainer_client.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kCallTimeout{5000};
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

Error NoInstance() {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "no instance answered the trainer", milliseconds(200)};
}

}  // namespace

TrainerClient::TrainerClient(TrainerId trainer, std::vector<Endpoint> entries,
                             UpstreamClient& client)
    : trainer_(std::move(trainer)),
      entries_(std::move(entries)),
      client_(client) {
  assert(!entries_.empty());
}

Status TrainerClient::PutStepAt(std::size_t entry) {
  UpstreamRequest request;
  request.endpoint = entries_[entry];
  request.method = "PUT";
  request.path = "/v1/trainers/" + trainer_.value() + "/steps/" +
                 std::to_string(step_.value());
  request.body = step_body_;
  request.timeout = kCallTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage == ExchangeStage::kEnded && outcome.status == kHttpOk) {
    return OkStatus();
  }
  return NoInstance();
}

Status TrainerClient::PutStep(StepNumber step, const std::string& body) {
  step_ = step;
  step_body_ = body;
  cursor_ = std::to_string(step.value()) + ":";
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t entry = (current_entry_ + i) % entries_.size();
    if (!IsOk(PutStepAt(entry))) continue;
    current_entry_ = entry;
    return OkStatus();
  }
  return NoInstance();
}

Result<std::string> TrainerClient::PullFrom(std::size_t entry,
                                            WeightVersion newest) {
  UpstreamRequest request;
  request.endpoint = entries_[entry];
  request.method = "GET";
  request.path = "/v1/trainers/" + trainer_.value() +
                 "/batches?cursor=" + cursor_ +
                 "&version=" + std::to_string(newest.value());
  request.timeout = kCallTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded) return NoInstance();
  if (outcome.status == kHttpNotFound) {
    if (!IsOk(PutStepAt(entry))) return NoInstance();
    return std::string();
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (outcome.status != kHttpOk || !json.is_object()) return NoInstance();
  cursor_ = json.value("cursor", cursor_);
  if (json.value("groups", Json::array()).empty()) return std::string();
  return outcome.body;
}

Result<std::string> TrainerClient::NextBatch(WeightVersion newest) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t entry = (current_entry_ + i) % entries_.size();
    auto pulled = PullFrom(entry, newest);
    if (!IsOk(pulled)) continue;
    current_entry_ = entry;
    return pulled;
  }
  return NoInstance();
}

}  // namespace briarspread
