#include "programs/scenario/live_callers.h"

#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/history/history_writer.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kEarlyDeadline{15};
constexpr std::uint32_t kQuoteTokens = 8;

/// Returns the request key that the response names.
RequestKey AnsweredKey(const CallerAnswer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  if (!body.is_object()) return RequestKey();
  const char* field = body.contains("choices") ? "id" : "key";
  return RequestKey(body.value(field, ""));
}

/// Returns the verdict and the error message of a call without a response.
std::string ReasonOf(const CallerAnswer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  const std::string verdict(ToString(answer.verdict));
  if (!body.is_object() || !body.contains("error")) {
    return verdict + ": no whole answer";
  }
  return verdict + ": " + body["error"].value("message", "");
}

/// Returns whether the response is complete for the kind of call.
bool IsComplete(const CallerPlan& plan, const CallerAnswer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  if (!body.is_object()) return false;
  if (plan.kind != "quote") return body.contains("echo");
  return body.contains("usage") &&
         body["usage"].value("completion_tokens", 0U) == kQuoteTokens;
}

/// Combines the results of two calls of one request: an answered one if there
/// is one, with the combined verdict.
CallerAnswer MergeAnswers(CallerAnswer first, CallerAnswer second) {
  const Verdict combined = Combine(first.verdict, second.verdict);
  CallerAnswer best = second.verdict == Verdict::kAnswered ? std::move(second)
                                                           : std::move(first);
  best.verdict = combined;
  return best;
}

}  // namespace

LiveCallers::LiveCallers(std::vector<Endpoint> entries, UpstreamClient& client,
                         const Clock& clock, RandomSource& random)
    : client_(client),
      clock_(clock),
      random_(random),
      caller_(std::move(entries), client_, clock_, random_) {}

void LiveCallers::Start(const CallerPlan& plan) {
  const std::uint64_t plan_number = ++plans_;
  auto calls = std::make_unique<PacedCalls>(
      PacedCallsSettings{plan.calls_per_second, plan.duration, plan.threads},
      clock_, [this, plan, plan_number](std::uint64_t n) {
        MakeCall(plan, plan_number, n);
      });
  std::lock_guard lock(mutex_);
  running_.push_back(std::move(calls));
}

void LiveCallers::Wait() {
  std::vector<std::unique_ptr<PacedCalls>> running;
  {
    std::lock_guard lock(mutex_);
    running.swap(running_);
  }
  for (const auto& calls : running) calls->Wait();
}

std::vector<CallRecord> LiveCallers::records() const {
  std::lock_guard lock(mutex_);
  return records_;
}

std::map<std::string, std::uint64_t> LiveCallers::reasons() const {
  std::lock_guard lock(mutex_);
  return reasons_;
}

CallerRequest LiveCallers::MakeRequest(const CallerPlan& plan,
                                       const std::string& key) const {
  CallerRequest request;
  request.customer = CustomerId("andes");
  request.request_class = RequestClass(plan.kind);
  request.key = RequestKey(key);
  request.deadline = plan.deadline;
  request.idempotent = plan.kind == "check";
  if (plan.kind == "quote") {
    request.path = "/v1/completions";
    request.body = Json{
        {"model", plan.target},
        {"prompt", key + " " + plan.mark},
        {"max_tokens",
         kQuoteTokens}}.dump();
  } else {
    request.path = "/v1/services/" + plan.target + "/" + plan.kind;
    request.body = Json{{"item", key}, {"mark", plan.mark}}.dump();
  }
  return request;
}

CallerAnswer LiveCallers::Send(const CallerPlan& plan,
                               const CallerRequest& request) {
  const double draw = random_.Fraction();
  if (draw < plan.duplicate_fraction) {
    auto other =
        std::async(std::launch::async, [&] { return caller_.Call(request); });
    CallerAnswer answer = caller_.Call(request);
    return MergeAnswers(std::move(answer), other.get());
  }
  if (draw < plan.duplicate_fraction + plan.early_retry_fraction) {
    CallerRequest early = request;
    early.deadline = kEarlyDeadline;
    CallerAnswer first = caller_.Call(early);
    return MergeAnswers(std::move(first), caller_.Call(request));
  }
  return caller_.Call(request);
}

void LiveCallers::MakeCall(const CallerPlan& plan, std::uint64_t plan_number,
                           std::uint64_t n) {
  const std::string key =
      plan.kind + "-" + std::to_string(plan_number) + "-" + std::to_string(n);
  CallRecord record;
  record.key = RequestKey(key);
  record.request_class = RequestClass(plan.kind);
  record.idempotent = plan.kind == "check";
  record.sent = ToHistoryTime(clock_.WallNow());
  const CallerAnswer answer = Send(plan, MakeRequest(plan, key));
  record.returned = ToHistoryTime(clock_.WallNow());
  record.verdict = answer.verdict;
  if (answer.verdict == Verdict::kAnswered) {
    record.answered_key = AnsweredKey(answer);
    record.is_complete = IsComplete(plan, answer);
  }
  std::lock_guard lock(mutex_);
  if (record.verdict != Verdict::kAnswered) ++reasons_[ReasonOf(answer)];
  records_.push_back(std::move(record));
}

}  // namespace briarspread
