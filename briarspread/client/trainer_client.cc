#include "briarspread/client/trainer_client.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kCallTimeout{5000};
constexpr milliseconds kRetryAfterNoInstance{200};
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

Error NoInstanceError() {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "no instance answered the trainer", kRetryAfterNoInstance};
}

bool IsFinal(const Error& error) {
  return error.code == ErrorCode::kInvalidArgument ||
         error.code == ErrorCode::kConflict;
}

/// Returns the error that describes an exchange without a complete 200
/// response.
Error ErrorFrom(const ExchangeOutcome& outcome) {
  if (outcome.stage != ExchangeStage::kEnded) return NoInstanceError();
  Error error = NoInstanceError();
  if (outcome.status == kHttpBadRequest) {
    error.code = ErrorCode::kInvalidArgument;
  } else if (outcome.status == kHttpConflict) {
    error.code = ErrorCode::kConflict;
  } else if (outcome.status == kHttpNotFound) {
    error.code = ErrorCode::kNotFound;
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    error.message = json["error"].value("message", error.message);
  }
  return error;
}

}  // namespace

TrainerClient::TrainerClient(TrainerId trainer, std::vector<Endpoint> entries,
                             UpstreamClient& client)
    : trainer_(std::move(trainer)),
      entries_(std::move(entries)),
      client_(client) {
  assert(!entries_.empty());
}

Result<std::string> TrainerClient::SubmitStepTo(std::size_t entry,
                                                StepNumber step) {
  UpstreamRequest request;
  request.endpoint = entries_[entry];
  request.method = "PUT";
  request.path = "/v1/trainers/" + trainer_.value() + "/steps/" +
                 std::to_string(step.value());
  request.body = step_bodies_.at(step);
  request.timeout = kCallTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return ErrorFrom(outcome);
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (!json.is_object() || !json.contains("cursor")) return NoInstanceError();
  return json.value("cursor", std::string());
}

Result<std::string> TrainerClient::SubmitStepToAny(StepNumber step) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t entry = (current_entry_ + i) % entries_.size();
    auto cursor = SubmitStepTo(entry, step);
    if (!IsOk(cursor) && !IsFinal(ErrorOf(cursor))) continue;
    current_entry_ = entry;
    return cursor;
  }
  return NoInstanceError();
}

Status TrainerClient::SubmitStep(StepNumber step, const std::string& body) {
  step_bodies_[step] = body;
  const auto cursor = SubmitStepToAny(step);
  if (!IsOk(cursor)) return ErrorOf(cursor);
  return OkStatus();
}

Status TrainerClient::OpenStep(StepNumber step, const std::string& body) {
  step_bodies_[step] = body;
  auto cursor = SubmitStepToAny(step);
  if (!IsOk(cursor)) return ErrorOf(cursor);
  Resume(step, body, ValueOf(cursor));
  return OkStatus();
}

void TrainerClient::Resume(StepNumber step, const std::string& body,
                           const std::string& cursor) {
  step_ = step;
  step_bodies_[step] = body;
  step_bodies_.erase(step_bodies_.begin(), step_bodies_.lower_bound(step));
  cursor_ = cursor;
}

Result<TrainerBatch> TrainerClient::PullFrom(std::size_t entry,
                                             WeightVersion newest) {
  UpstreamRequest request;
  request.endpoint = entries_[entry];
  request.method = "GET";
  request.path = "/v1/trainers/" + trainer_.value() +
                 "/batches?cursor=" + cursor_ +
                 "&version=" + std::to_string(newest.value());
  request.timeout = kCallTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return ErrorFrom(outcome);
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (!json.is_object() || !json.contains("cursor") ||
      !json.contains("groups")) {
    return NoInstanceError();
  }
  TrainerBatch batch;
  batch.cursor = json.value("cursor", cursor_);
  batch.is_whole = json.value("whole", false);
  if (!json["groups"].empty()) batch.body = outcome.body;
  return batch;
}

Result<TrainerBatch> TrainerClient::NextBatch(WeightVersion newest) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t entry = (current_entry_ + i) % entries_.size();
    auto pulled = PullFrom(entry, newest);
    if (!IsOk(pulled) && ErrorOf(pulled).code == ErrorCode::kNotFound) {
      // The instance lost the steps or never had them. The cursor stays valid.
      bool all_accepted = true;
      for (const auto& [step, body] : step_bodies_) {
        all_accepted = all_accepted && IsOk(SubmitStepTo(entry, step));
      }
      if (all_accepted) pulled = PullFrom(entry, newest);
    }
    if (!IsOk(pulled)) {
      if (IsFinal(ErrorOf(pulled))) return pulled;
      continue;
    }
    current_entry_ = entry;
    cursor_ = ValueOf(pulled).cursor;
    return pulled;
  }
  return NoInstanceError();
}

}  // namespace briarspread
