#include "briarspread/gateway/trainer_json.h"

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// The lowest priority of the engines, so that live callers are served first.
constexpr int kRolloutPriority = 9;

Json ToJson(const FinishedSample& sample, std::size_t index) {
  Json versions = Json::array();
  for (const VersionSpan& span : sample.versions) {
    versions.push_back({{"version", span.version.value()},
                        {"begin", span.begin},
                        {"end", span.end}});
  }
  Json json = {{"sample", index},
               {"text", sample.text},
               {"versions", std::move(versions)}};
  if (sample.score.has_value()) {
    json["score"] = Json::parse(*sample.score, nullptr, false);
  }
  return json;
}

}  // namespace

std::string FormatBatch(const Batch& batch, const std::string& cursor) {
  Json groups = Json::array();
  for (const DeliveredGroup& group : batch.groups) {
    Json samples = Json::array();
    for (std::size_t i = 0; i < group.samples.size(); ++i) {
      samples.push_back(ToJson(group.samples[i], i));
    }
    groups.push_back({{"id", group.id.value()}, {"samples", samples}});
  }
  return Json{{"step", batch.step.value()},
              {"groups", std::move(groups)},
              {"cursor", cursor},
              {"whole", batch.is_whole}}
      .dump();
}

std::string FormatCompletion(const SampleRun& run) {
  // The suffix makes the samples of one prompt differ. It comes last, so that
  // engines can share the prefix cache of the prompt.
  return Json{{"model", run.model.value()},
              {"prompt", run.prompt + "#" + std::to_string(run.sample.value())},
              {"max_tokens", run.max_tokens},
              {"priority", kRolloutPriority},
              {"stream", true}}
      .dump();
}

std::string FormatScoring(const ScoringTask& task) {
  return Json{{"id", task.id}, {"prompt", task.prompt}, {"text", task.text}}
      .dump();
}

}  // namespace briarspread
