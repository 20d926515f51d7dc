// briarspread-load: a load generator with live callers and one trainer.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "briarspread/client/caller_client.h"
#include "briarspread/client/paced_calls.h"
#include "briarspread/client/trainer_client.h"
#include "briarspread/transport/http_upstream_client.h"
#include "programs/load/load_report.h"

DEFINE_string(entries, "", "entry instances, as host:port,host:port");
DEFINE_uint32(seconds, 10, "duration of the load in seconds");
DEFINE_double(quotes_per_second, 20,
              "rate of quotes: completions that must run at most once");
DEFINE_double(stock_checks_per_second, 20,
              "rate of stock checks: idempotent calls of a plain service");
DEFINE_string(quote_model, "desk", "model that answers quotes");
DEFINE_string(stock_service, "stock", "service that answers stock checks");
DEFINE_string(rollout_model, "rollout", "model that the trainer samples");
DEFINE_uint32(groups, 32, "groups per step; 0: no trainer");
DEFINE_uint32(samples_per_group, 4, "samples per group");
DEFINE_uint32(max_tokens, 32, "tokens per sample");
DEFINE_uint32(staleness_bound, 2,
              "maximum number of versions that a sample may be behind");
DEFINE_double(train_seconds, 0.5,
              "simulated compute time of the trainer after each step");
DEFINE_string(version_file, "", "file that holds the newest weight version");
DEFINE_uint32(threads, 64,
              "threads per kind of live call; bounds the calls in flight");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_string(json, "", "file for the report as JSON");

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kCallDeadline{4000};
constexpr seconds kStepTimeout{60};
constexpr milliseconds kRetryInterval{50};

std::vector<Endpoint> ParseEntries() {
  std::vector<Endpoint> entries;
  std::istringstream in(FLAGS_entries);
  std::string item;
  while (std::getline(in, item, ',')) {
    const std::size_t colon = item.rfind(':');
    if (colon == std::string::npos) continue;
    entries.push_back(
        {item.substr(0, colon),
         static_cast<std::uint16_t>(std::atoi(item.c_str() + colon + 1))});
  }
  return entries;
}

WeightVersion NewestVersion() {
  std::ifstream in(FLAGS_version_file);
  std::uint64_t version = 1;
  in >> version;
  return WeightVersion(version);
}

/// Makes live calls of one kind and records their results.
class LiveLoad {
 public:
  LiveLoad(std::string name, CallerClient& caller, const Clock& clock,
           LoadReport& report)
      : name_(std::move(name)),
        caller_(caller),
        clock_(clock),
        report_(report) {}

  /// Makes call number `n`. Thread-safe.
  void MakeCall(std::uint64_t n) {
    const std::string key =
        name_ + "-" + std::to_string(FLAGS_seed) + "-" + std::to_string(n);
    const TimePoint start = clock_.Now();
    const CallerAnswer answer = caller_.Call(MakeRequest(key));
    bool wrong = false;
    if (answer.verdict == Verdict::kAnswered) {
      const Json body = Json::parse(answer.body, nullptr, false);
      const char* field = name_ == "quote" ? "id" : "key";
      wrong = !body.is_object() || body.value(field, "") != key;
    }
    report_.AddCall(name_, answer, wrong, clock_.Now() - start);
  }

 private:
  CallerRequest MakeRequest(const std::string& key) const {
    CallerRequest request;
    request.customer = CustomerId("andes");
    request.request_class = RequestClass(name_);
    request.key = RequestKey(key);
    request.deadline = kCallDeadline;
    if (name_ == "quote") {
      request.path = "/v1/completions";
      request.body = Json{
          {"model", FLAGS_quote_model},
          {"prompt", "quote " + key},
          {"max_tokens",
           8}}.dump();
    } else {
      request.path = "/v1/services/" + FLAGS_stock_service + "/check";
      request.body = Json{{"sku", key}}.dump();
      request.idempotent = true;
    }
    return request;
  }

  const std::string name_;
  CallerClient& caller_;
  const Clock& clock_;
  LoadReport& report_;
};

/// A trainer that pulls all samples of a step, then simulates a training step
/// by sleeping.
class TrainerLoad {
 public:
  TrainerLoad(TrainerClient& client, const Clock& clock, LoadReport& report)
      : client_(client), clock_(clock), report_(report) {}

  /// Runs steps until `end`; the step in progress is completed.
  void Run(TimePoint end) {
    const TimePoint start = clock_.Now();
    for (std::uint64_t step = 1; clock_.Now() < end; ++step) {
      RunStep(StepNumber(step));
      std::this_thread::sleep_for(
          std::chrono::duration<double>(FLAGS_train_seconds));
      result_.total_seconds =
          std::chrono::duration<double>(clock_.Now() - start).count();
      report_.SetTrainer(result_);
    }
  }

 private:
  static std::string StepBody(StepNumber step) {
    Json groups = Json::array();
    for (std::uint32_t i = 0; i < FLAGS_groups; ++i) {
      groups.push_back({{"id", i},
                        {"prompt", "step " + std::to_string(step.value()) +
                                       " group " + std::to_string(i)}});
    }
    return Json{{"model", FLAGS_rollout_model},
                {"max_tokens", FLAGS_max_tokens},
                {"samples_per_group", FLAGS_samples_per_group},
                {"staleness_bound", FLAGS_staleness_bound},
                {"groups", groups}}
        .dump();
  }

  void RunStep(StepNumber step) {
    const TimePoint start = clock_.Now();
    while (!IsOk(client_.OpenStep(step, StepBody(step)))) {
      if (clock_.Now() - start > kStepTimeout) break;
      std::this_thread::sleep_for(kRetryInterval);
    }
    std::set<std::uint32_t> seen;
    while (seen.size() < FLAGS_groups && clock_.Now() - start < kStepTimeout) {
      const WeightVersion newest = NewestVersion();
      const auto batch = client_.NextBatch(newest);
      if (!IsOk(batch) || ValueOf(batch).empty()) {
        std::this_thread::sleep_for(kRetryInterval);
        continue;
      }
      RecordBatch(ValueOf(batch).body, newest, seen);
    }
    result_.lost += (FLAGS_groups - seen.size()) * FLAGS_samples_per_group;
    ++result_.steps;
    result_.idle_seconds +=
        std::chrono::duration<double>(clock_.Now() - start).count();
  }

  void RecordBatch(const std::string& batch, WeightVersion newest,
                   std::set<std::uint32_t>& seen) {
    const Json json = Json::parse(batch);
    for (const Json& group : json["groups"]) {
      const bool is_new = seen.insert(group.value("id", 0U)).second;
      for (const Json& sample : group["samples"]) {
        ++result_.samples;
        if (!is_new) ++result_.duplicated;
        RecordSample(sample, newest);
      }
    }
  }

  void RecordSample(const Json& sample, WeightVersion newest) {
    if (sample["versions"].empty()) ++result_.unlabelled;
    std::uint64_t oldest = newest.value();
    for (const Json& span : sample["versions"]) {
      const std::uint64_t version = span.value("version", std::uint64_t{0});
      result_.versions.insert(version);
      oldest = std::min(oldest, version);
    }
    const std::uint64_t staleness = newest.value() - oldest;
    result_.staleness.push_back(static_cast<double>(staleness));
    if (staleness > FLAGS_staleness_bound) ++result_.stale;
  }

  TrainerClient& client_;
  const Clock& clock_;
  LoadReport& report_;
  TrainerReport result_;
};

int Run() {
  const std::vector<Endpoint> entries = ParseEntries();
  if (entries.empty()) {
    std::cerr << "briarspread-load: --entries: found '" << FLAGS_entries
              << "', allowed: host:port,host:port\n";
    return 2;
  }
  SystemClock clock;
  SeededRandom random(FLAGS_seed);
  HttpUpstreamClient client;
  CallerClient caller(entries, client, clock, random);
  TrainerClient trainer(TrainerId("lima"), entries, client);
  LoadReport report;
  const TimePoint end = clock.Now() + seconds(FLAGS_seconds);

  LiveLoad quotes("quote", caller, clock, report);
  LiveLoad checks("stock-check", caller, clock, report);
  TrainerLoad steps(trainer, clock, report);
  std::vector<std::unique_ptr<PacedCalls>> calls;
  const auto start = [&](LiveLoad& load, double rate) {
    if (rate <= 0) return;
    calls.push_back(std::make_unique<PacedCalls>(
        PacedCallsSettings{rate, seconds(FLAGS_seconds), FLAGS_threads}, clock,
        [&load](std::uint64_t n) { load.MakeCall(n); }));
  };
  start(quotes, FLAGS_quotes_per_second);
  start(checks, FLAGS_stock_checks_per_second);
  if (FLAGS_groups > 0) steps.Run(end);
  for (const auto& paced : calls) paced->Wait();

  std::cout << report.ToText();
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.ToJson() << "\n";
  return report.HasViolations() ? 1 : 0;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  gflags::SetVersionString(BRIARSPREAD_VERSION);
  gflags::SetUsageMessage(
      "sends live calls and trainer steps and reports the results\n"
      "exit codes: 0 no violations, 1 a guarantee violated, 2 bad arguments");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run();
}
