#include "tests/soak/soak_trainer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread::soak {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kRetryInterval{150};
constexpr milliseconds kReadPause{200};
constexpr milliseconds kCallTimeout{4000};
/// Maximum time of retries of a submission, and of reading a step.
constexpr milliseconds kRetryTimeout{12000};
constexpr std::size_t kGroups = 3;
constexpr std::size_t kGroupSize = 2;

const proxy::Response* AnswerOf(const proxy::CallResult& result) {
  return std::get_if<proxy::Response>(&result);
}

}  // namespace

SoakTrainer::SoakTrainer(asio::io_context& loop, const Clock& clock,
                         EdgeCaller& caller, SoakRecord& record,
                         platform::StoreStandIn& store, std::size_t number)
    : clock_(clock),
      caller_(caller),
      record_(record),
      store_(store),
      number_(number),
      timer_(loop) {}

std::string SoakTrainer::Prefix() const {
  return "/roll" + std::to_string(number_) + "/";
}

void SoakTrainer::Submit() {
  if (is_stopping_) {
    is_idle_ = true;
    return;
  }
  job_ = "t" + std::to_string(number_) + "s" + std::to_string(step_);
  std::vector<std::string> ids;
  Json items = Json::array();
  for (std::size_t i = 0; i < kGroups * kGroupSize; ++i) {
    const std::string id = job_ + "i" + std::to_string(i);
    ids.push_back(id);
    items.push_back({{"Id", id},
                     {"Path", Prefix() + id},
                     {"Headers", Json::object()},
                     {"Body", ""},
                     {"Tokens", 40},
                     {"Group", job_ + "g" + std::to_string(i / kGroupSize)},
                     {"Scorer",
                      {{"Id", "score-" + id},
                       {"Host", "h"},
                       {"Path", "/safe/score"},
                       {"Body", ""}}}});
  }
  const std::uint64_t oldest = version_ > 1 ? version_ - 1 : 1;
  record_.RecordSubmitted(job_, oldest, ids);
  items_ = ids.size();
  body_ = Json{{"Step", step_},
               {"Model", "m" + std::to_string(number_)},
               {"MinVersion", oldest},
               {"TargetGroups", kGroups},
               {"Items", std::move(items)}}
              .dump();
  ++step_;
  may_be_accepted_ = false;
  deadline_ = clock_.Now() + kRetryTimeout;
  SendSubmission();
}

void SoakTrainer::SendSubmission() {
  caller_.Call(
      caller_.RandomEdge(), "POST", Prefix() + job_, job_, body_, kCallTimeout,
      [this](const proxy::CallResult& result) { OnSubmitted(result); });
}

void SoakTrainer::OnSubmitted(const proxy::CallResult& result) {
  const proxy::Response* answer = AnswerOf(result);
  const int status = answer == nullptr ? 0 : answer->head.status;
  if (status == 202) {
    record_.RecordAccepted(job_);
    deadline_ = clock_.Now() + kRetryTimeout;
    Read();
    return;
  }
  const auto* failure = std::get_if<proxy::ExchangeFailure>(&result);
  const bool is_not_run =
      status == 429 || status == 503 ||
      (failure != nullptr && failure->verdict == Verdict::kNotRun);
  may_be_accepted_ = may_be_accepted_ || !is_not_run;
  if (clock_.Now() < deadline_) {
    timer_.After(kRetryInterval, [this] { SendSubmission(); });
    return;
  }
  if (!may_be_accepted_) record_.RecordRefused(job_);
  Submit();
}

bool SoakTrainer::ProcessPage(const std::string& job, std::size_t after,
                              const proxy::CallResult& result) {
  const proxy::Response* answer = AnswerOf(result);
  if (answer == nullptr) return false;
  if (answer->head.status == 404) record_.RecordUnknownJob(job);
  if (answer->head.status != 200) return false;
  const Json page = Json::parse(answer->body, nullptr, false);
  std::vector<ReadResult> results;
  for (const Json& it : page.at("Results")) {
    results.push_back({it.at("Id"), it.at("State") == "complete", it.at("Text"),
                       it.at("Versions").get<std::vector<std::uint64_t>>(),
                       it.value("Score", "")});
  }
  record_.RecordPage(job, after, page.at("Total").get<std::size_t>(), results);
  return true;
}

void SoakTrainer::Read() {
  const std::size_t after = record_.ResultCount(job_);
  const bool is_over = after >= items_ || clock_.Now() >= deadline_;
  if (is_over) {
    End();
    return;
  }
  caller_.Call(caller_.RandomEdge(), "GET",
               "/briarspread/lots/" + job_ + "?After=" + std::to_string(after),
               job_, "", kCallTimeout,
               [this, after](const proxy::CallResult& result) {
                 ProcessPage(job_, after, result);
                 timer_.After(kReadPause, [this] { Read(); });
               });
}

void SoakTrainer::End() {
  caller_.Call(caller_.RandomEdge(), "DELETE", "/briarspread/lots/" + job_,
               job_, "", kCallTimeout, [this](const proxy::CallResult& result) {
                 const proxy::Response* answer = AnswerOf(result);
                 if (answer == nullptr || answer->head.status != 200) {
                   timer_.After(kRetryInterval, [this] { End(); });
                   return;
                 }
                 record_.RecordEnded(job_);
                 PublishVersion();
                 Submit();
               });
}

void SoakTrainer::PublishVersion() {
  ++version_;
  const std::string model = "m" + std::to_string(number_);
  store_.memory().Write("op/version/" + model,
                        Json{{"Model", model}, {"Version", version_}}.dump());
}

void SoakTrainer::ReadFromStart(const std::string& job, std::size_t edge,
                                std::function<void(bool)> done) {
  caller_.Call(
      edge, "GET", "/briarspread/lots/" + job + "?After=0", job, "",
      kCallTimeout,
      [this, job, done = std::move(done)](const proxy::CallResult& result) {
        done(ProcessPage(job, 0, result));
      });
}

}  // namespace briarspread::soak
