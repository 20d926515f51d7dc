#include "tests/rollout_model/engine_model.h"

#include <algorithm>
#include <utility>

namespace briarspread::testing {
namespace {

/// Tolerance for rounding, so that the last token is complete at a run's end.
constexpr double kRoundingTolerance = 1e-6;

/// Records that `version` generated the tokens since the last span.
void AddSpan(EngineRun& run, WeightVersion version) {
  const auto end =
      static_cast<std::uint32_t>(run.generated_tokens + kRoundingTolerance);
  const std::uint32_t begin = run.spans.empty() ? 0 : run.spans.back().end;
  if (end <= begin) return;
  if (!run.spans.empty() && run.spans.back().version == version) {
    run.spans.back().end = end;
  } else {
    run.spans.push_back({version, begin, end});
  }
}

}  // namespace

void EngineModel::Advance(TimePoint now) {
  if (now <= generated_until_) return;
  const double seconds =
      std::chrono::duration<double>(now - generated_until_).count();
  generated_until_ = now;
  if (!is_up_) return;
  for (auto& [key, run] : runs_) {
    run.generated_tokens = std::min(run.generated_tokens + seconds * rate_,
                                    static_cast<double>(run.length));
    AddSpan(run, version_);
  }
}

void EngineModel::Swap(WeightVersion version, TimePoint now,
                       TimePoint resumes) {
  Advance(now);
  version_ = version;
  generated_until_ = std::max(generated_until_, resumes);
}

std::uint64_t EngineModel::Start(EngineRun run, TimePoint now) {
  Advance(now);
  runs_.emplace(++last_key_, std::move(run));
  return last_key_;
}

TimePoint EngineModel::EndOf(const EngineRun& run) const {
  const double left = static_cast<double>(run.length) - run.generated_tokens;
  // Rounded up so that the last token is complete by then.
  return generated_until_ +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(left / rate_)) +
         milliseconds(1);
}

std::vector<EngineRun> EngineModel::Fail(TimePoint now) {
  Advance(now);
  is_up_ = false;
  std::vector<EngineRun> lost;
  for (auto& [key, run] : runs_) lost.push_back(std::move(run));
  runs_.clear();
  return lost;
}

void EngineModel::Recover(WeightVersion version, TimePoint now) {
  is_up_ = true;
  version_ = version;
  reported_ = version;
  generated_until_ = now;
}

std::string FormatSpans(const std::vector<VersionSpan>& spans) {
  std::string text;
  for (const VersionSpan& span : spans) {
    text += std::to_string(span.version.value()) + "@" +
            std::to_string(span.begin) + "-" + std::to_string(span.end) + ",";
  }
  return text;
}

}  // namespace briarspread::testing
