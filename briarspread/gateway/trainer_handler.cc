#include "briarspread/gateway/trainer_handler.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "briarspread/core/http_headers.h"
#include "briarspread/gateway/trainer_json.h"
#include "briarspread/transport/http_server.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kRolloutClass[] = "rollout";
constexpr milliseconds kRetryAfterDrain{100};
constexpr int kHttpOk = 200;

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || last != end) return std::nullopt;
  return value;
}

void RespondError(httplib::Response& out, const Error& error) {
  RespondError(out, HttpStatusOf(error.code), error);
}

Error DrainingError() {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "this instance is shutting down; ask another one",
               kRetryAfterDrain};
}

Json ToJson(const TrainerStats& stats) {
  return {{"samples_handed_over", stats.staleness.count()},
          {"staleness_mean", stats.staleness.Mean()},
          {"staleness_p95", stats.staleness.Percentile95()},
          {"finished", stats.finished},
          {"tokens", stats.tokens},
          {"failed_runs", stats.failed_runs},
          {"unlabelled_runs", stats.unlabelled_runs},
          {"hedges", stats.hedges},
          {"hedges_won", stats.hedges_won},
          {"not_started_stale", stats.not_started_stale},
          {"cut_stale", stats.cancelled_stale},
          {"dropped_stale_tokens", stats.dropped_stale_tokens},
          {"wasted_tokens", stats.wasted_tokens}};
}

}  // namespace

std::optional<WeightVersion> TrainerHandler::ReportedVersions::NewestServed(
    const ModelName& model) const {
  std::optional<WeightVersion> newest;
  const auto table = state_.routing.Read();
  for (const UpstreamView& upstream : table->upstreams) {
    if (upstream.listed.kind != InstanceKind::kModelEngine ||
        upstream.listed.serves != model.value() ||
        upstream.load.version == WeightVersion(0)) {
      continue;
    }
    newest =
        std::max(newest.value_or(upstream.load.version), upstream.load.version);
  }
  return newest;
}

TrainerHandler::TrainerHandler(const TrainerHandlerSettings& settings,
                               const std::string& cursor_key,
                               ControlState& state, UpstreamCaller& caller,
                               const Clock& clock)
    : settings_(settings),
      state_(state),
      caller_(caller),
      clock_(clock),
      rules_(state),
      versions_(state),
      scheduler_(settings.scheduler, cursor_key, rules_, clock) {
  for (std::size_t i = 0; i < settings.workers; ++i) {
    workers_.emplace_back([this] { RunTasks(); });
  }
}

TrainerHandler::~TrainerHandler() { Stop(); }

void TrainerHandler::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& worker : workers_) {
    if (worker.joinable()) worker.join();
  }
}

void TrainerHandler::AddRoutes(httplib::Server& routes) {
  routes.Put(R"(/v1/trainers/([^/]+)/steps/(\d{1,18}))",
             [this](const auto& in, auto& out) { PutStep(in, out); });
  routes.Get(R"(/v1/trainers/([^/]+)/batches)",
             [this](const auto& in, auto& out) { GetBatch(in, out); });
}

void TrainerHandler::PutStep(const httplib::Request& in,
                             httplib::Response& out) {
  if (IsDraining()) return RespondError(out, DrainingError());
  const auto step = ParseNumber(in.matches[2]);
  if (!step.has_value()) {
    return RespondError(out, {ErrorCode::kInvalidArgument, Verdict::kNotRun,
                              "the step is not a whole number"});
  }
  const auto spec = ParseStepSpec(in.body);
  if (!IsOk(spec)) return RespondError(out, ErrorOf(spec));
  std::lock_guard lock(mutex_);
  const auto cursor = scheduler_.SubmitStep(TrainerId(in.matches[1]),
                                            StepNumber(*step), ValueOf(spec));
  if (!IsOk(cursor)) return RespondError(out, ErrorOf(cursor));
  changed_.notify_all();
  RespondJson(out, kHttpOk, Json{{"cursor", ValueOf(cursor)}}.dump());
}

void TrainerHandler::GetBatch(const httplib::Request& in,
                              httplib::Response& out) {
  const auto version = ParseNumber(in.get_param_value("version"));
  if (!version.has_value()) {
    return RespondError(
        out, {ErrorCode::kInvalidArgument, Verdict::kNotRun,
              "version: found '" + in.get_param_value("version") +
                  "', allowed: the trainer's newest weight version"});
  }
  const TrainerId trainer(in.matches[1]);
  const std::string cursor = in.get_param_value("cursor");
  std::unique_lock lock(mutex_);
  Result<Batch> batch = Error{};
  const auto has_answer = [&] {
    batch = scheduler_.NextBatch(trainer, cursor, WeightVersion(*version));
    return !IsOk(batch) || !ValueOf(batch).groups.empty() ||
           ValueOf(batch).is_whole || IsDraining();
  };
  changed_.wait_for(lock, settings_.long_poll_timeout, has_answer);
  if (!IsOk(batch)) return RespondError(out, ErrorOf(batch));
  const Batch& ready = ValueOf(batch);
  if (ready.groups.empty() && !ready.is_whole && IsDraining()) {
    return RespondError(out, DrainingError());
  }
  const std::string next = scheduler_.FormatCursor(ready.next);
  lock.unlock();
  RespondJson(out, kHttpOk, FormatBatch(ready, next));
}

void TrainerHandler::RunTasks() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    CancelRuns();
    if (const auto task = scheduler_.NextScoring()) {
      lock.unlock();
      RunScoring(*task);
      lock.lock();
      continue;
    }
    const SlotOffer offer{settings_.workers, UpstreamId(), &versions_};
    const auto run = IsDraining() ? std::nullopt : scheduler_.NextRun(offer);
    if (!run.has_value()) {
      changed_.wait_for(lock, settings_.idle_poll_interval);
      continue;
    }
    const auto cancelled = std::make_shared<std::atomic<bool>>(false);
    cancel_flags_[run->id] = cancelled;
    lock.unlock();
    RunSample(*run, cancelled);
    lock.lock();
    cancel_flags_.erase(run->id);
  }
}

void TrainerHandler::CancelRuns() {
  for (const RunId run : scheduler_.RunsToCancel()) {
    const auto it = cancel_flags_.find(run);
    if (it != cancel_flags_.end()) *it->second = true;
  }
}

void TrainerHandler::WaitAfterFailure() {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, settings_.failure_backoff,
                    [this] { return stopping_.load(); });
}

CallSpec TrainerHandler::MakeSpec(const SampleRun& run) const {
  CallSpec spec;
  spec.route.kind = InstanceKind::kModelEngine;
  spec.route.serves = run.model.value();
  spec.route.request_class = RequestClass(kRolloutClass);
  spec.route.is_rollout = true;
  spec.route.excluded = run.avoided_upstreams;
  spec.path = "/v1/completions";
  spec.body = FormatCompletion(run);
  spec.idempotent = true;
  spec.stream = true;
  spec.deadline = clock_.Now() + settings_.sample_deadline;
  return spec;
}

void TrainerHandler::ReportProgress(RunId run, const CompletionStream& text) {
  RunProgress progress;
  progress.tokens = text.next_token();
  if (!text.spans().empty()) progress.oldest = OldestVersion(text.spans());
  std::lock_guard lock(mutex_);
  scheduler_.OnProgress(run, progress);
  CancelRuns();
}

void TrainerHandler::RunSample(const SampleRun& run,
                               const CancelFlag& cancelled) {
  CompletionStream text;
  TimePoint next_note = clock_.Now();
  const CallResult result =
      caller_.Run(MakeSpec(run), [&](std::string_view events) {
        text.Feed(events);
        if (clock_.Now() >= next_note) {
          ReportProgress(run.id, text);
          next_note = clock_.Now() + settings_.progress_interval;
        }
        return !cancelled->load() && !stopping_.load();
      });
  ReportProgress(run.id, text);
  const bool is_whole = result.verdict == Verdict::kAnswered &&
                        result.has_all_versions && text.is_whole() &&
                        !text.is_malformed();
  {
    std::lock_guard lock(mutex_);
    if (is_whole) {
      scheduler_.OnFinished(run.id, {run.id, text.text(), text.next_token(),
                                     result.versions, std::nullopt});
    } else {
      scheduler_.OnFailed(run.id);
    }
  }
  changed_.notify_all();
  if (!is_whole && !cancelled->load()) WaitAfterFailure();
}

void TrainerHandler::RunScoring(const ScoringTask& task) {
  CallSpec spec;
  spec.route.kind = InstanceKind::kPlainService;
  spec.route.serves = task.scorer.value();
  spec.route.request_class = RequestClass(kRolloutClass);
  spec.route.is_rollout = true;
  spec.path = "/v1/services/" + task.scorer.value() + "/score";
  spec.headers = {{headers::kIdempotencyKey, task.id}};
  spec.body = FormatScoring(task);
  spec.idempotent = true;
  spec.deadline = clock_.Now() + settings_.scoring_deadline;
  const CallResult result = caller_.Run(spec, {});
  const bool is_scored = result.verdict == Verdict::kAnswered &&
                         result.status == kHttpOk && Json::accept(result.body);
  {
    std::lock_guard lock(mutex_);
    if (is_scored) {
      scheduler_.OnScored(task, result.body);
    } else {
      scheduler_.OnScoringFailed(task);
    }
  }
  changed_.notify_all();
  if (!is_scored) WaitAfterFailure();
}

std::string TrainerHandler::StatsJson() {
  std::lock_guard lock(mutex_);
  Json json = Json::object();
  for (const TrainerId& trainer : scheduler_.Trainers()) {
    json[trainer.value()] = ToJson(*scheduler_.StatsOf(trainer));
  }
  return json.dump();
}

}  // namespace briarspread
