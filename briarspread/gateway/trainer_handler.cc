#include "briarspread/gateway/trainer_handler.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "briarspread/transport/http_server.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kLongPoll{2000};
constexpr seconds kSampleDeadline{120};

/// The groups that a cursor names as delivered: `step:1,5,7`.
struct Cursor {
  std::uint64_t step = 0;
  std::set<std::uint32_t> delivered;
};

Cursor ParseCursor(const std::string& text) {
  Cursor cursor;
  std::istringstream in(text);
  char separator = 0;
  in >> cursor.step >> separator;
  std::uint32_t group = 0;
  while (in >> group) {
    cursor.delivered.insert(group);
    in >> separator;
  }
  return cursor;
}

std::string FormatCursor(const Cursor& cursor) {
  std::string text = std::to_string(cursor.step) + ":";
  for (const std::uint32_t group : cursor.delivered) {
    text += std::to_string(group) + ",";
  }
  return text;
}

Json SpansToJson(const std::vector<VersionSpan>& spans) {
  Json json = Json::array();
  for (const VersionSpan& span : spans) {
    json.push_back({{"version", span.version.value()},
                    {"begin", span.begin},
                    {"end", span.end}});
  }
  return json;
}

}  // namespace

TrainerHandler::TrainerHandler(ControlState& state, UpstreamCaller& caller,
                               const Clock& clock, std::size_t workers)
    : state_(state), caller_(caller), clock_(clock) {
  for (std::size_t i = 0; i < workers; ++i) {
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
  const Json json = Json::parse(in.body, nullptr, false);
  if (!json.is_object() || !json.contains("groups") ||
      !json["groups"].is_array()) {
    RespondError(out, 400,
                 Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                       "the body must be a JSON object with groups"});
    return;
  }
  const StepKey key(TrainerId(in.matches[1]),
                    StepNumber(std::stoull(in.matches[2])));
  std::lock_guard lock(mutex_);
  if (!steps_.contains(key)) {
    Step& step = steps_[key];
    step.model = json.value("model", "rollout");
    step.max_tokens = json.value("max_tokens", 16U);
    const std::uint32_t samples = json.value("samples_per_group", 1U);
    for (const Json& group : json["groups"]) {
      const GroupId id(group.value("id", 0U));
      step.groups[id] = Group{group.value("prompt", ""), {}, samples};
      for (std::uint32_t i = 0; i < samples; ++i) {
        tasks_.push_back({key, id, SampleIndex(i)});
      }
    }
    changed_.notify_all();
  }
  RespondJson(out, 200, "{}");
}

void TrainerHandler::GetBatch(const httplib::Request& in,
                              httplib::Response& out) {
  Cursor cursor = ParseCursor(in.get_param_value("cursor"));
  const StepKey key(TrainerId(in.matches[1]), StepNumber(cursor.step));
  std::unique_lock lock(mutex_);
  Json groups = Json::array();
  const auto collect = [&] {
    const auto it = steps_.find(key);
    if (it == steps_.end()) return true;
    for (const auto& [id, group] : it->second.groups) {
      if (cursor.delivered.contains(id.value())) continue;
      if (group.samples.size() < group.wanted) continue;
      Json samples = Json::array();
      for (const auto& text : group.samples) {
        samples.push_back(Json::parse(text));
      }
      groups.push_back({{"id", id.value()}, {"samples", samples}});
      cursor.delivered.insert(id.value());
    }
    return !groups.empty() || stopping_;
  };
  changed_.wait_for(lock, kLongPoll, collect);
  if (!steps_.contains(key)) {
    RespondError(out, 404,
                 Error{ErrorCode::kNotFound, Verdict::kNotRun,
                       "this instance does not know the step; post it again"});
    return;
  }
  RespondJson(
      out, 200,
      Json{{"groups", groups}, {"cursor", FormatCursor(cursor)}}.dump());
}

void TrainerHandler::RunTasks() {
  while (true) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_) return;
      task = tasks_.front();
      tasks_.pop_front();
    }
    RunTask(task);
  }
}

void TrainerHandler::RunTask(const Task& task) {
  CallSpec spec;
  {
    std::lock_guard lock(mutex_);
    const Step& step = steps_[task.step];
    spec.route.serves = step.model;
    spec.body = Json{
        {"model", step.model},
        {"prompt", step.groups.at(task.group).prompt + "#" +
                       std::to_string(task.sample.value())},
        {"max_tokens", step.max_tokens},
        {"priority", 9},
        {"stream",
         true}}.dump();
  }
  spec.route.kind = InstanceKind::kModelEngine;
  spec.route.request_class = RequestClass("rollout");
  spec.route.is_rollout = true;
  spec.path = "/v1/completions";
  spec.idempotent = true;
  spec.stream = true;
  spec.deadline = clock_.Now() + kSampleDeadline;
  CompletionStream text;
  const CallResult result = caller_.Run(spec, [&text](std::string_view data) {
    text.Take(data);
    return true;
  });
  std::lock_guard lock(mutex_);
  if (result.verdict == Verdict::kAnswered && result.has_all_versions) {
    const Json sample = {{"sample", task.sample.value()},
                         {"text", text.text()},
                         {"versions", SpansToJson(result.versions)}};
    steps_[task.step].groups[task.group].samples.push_back(sample.dump());
  } else {
    tasks_.push_back(task);
  }
  changed_.notify_all();
}

}  // namespace briarspread
