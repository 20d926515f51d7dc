#include "programs/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP95 = 0.95;

double IdleShare(const TrainerReport& trainer) {
  return trainer.total_seconds > 0
             ? trainer.idle_seconds / trainer.total_seconds
             : 0;
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      std::lround(share * static_cast<double>(values.size() - 1));
  return values[static_cast<std::size_t>(index)];
}

void LoadReport::AddCall(const std::string& request_class,
                         const CallerAnswer& answer, bool wrong,
                         Duration latency) {
  std::lock_guard lock(mutex_);
  ClassReport& report = classes_[request_class];
  ++report.calls;
  ++report.verdicts[std::string(ToString(answer.verdict))];
  if (wrong) ++report.wrong_answers;
  if (answer.verdict != Verdict::kAnswered) return;
  report.latencies_ms.push_back(
      std::chrono::duration<double, std::milli>(latency).count());
}

void LoadReport::SetTrainer(const TrainerReport& report) {
  std::lock_guard lock(mutex_);
  trainer_ = report;
}

std::string LoadReport::ToText() const {
  std::lock_guard lock(mutex_);
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "class         calls answered  not-run may-have-run wrong  p50 ms  "
         "p99 ms\n";
  for (const auto& [name, report] : classes_) {
    const auto count = [&report = report](const char* verdict) {
      const auto it = report.verdicts.find(verdict);
      return it == report.verdicts.end() ? 0 : it->second;
    };
    out << std::left << std::setw(12) << name << std::right << std::setw(7)
        << report.calls << std::setw(9) << count("answered") << std::setw(9)
        << count("not-run") << std::setw(13) << count("may-have-run")
        << std::setw(6) << report.wrong_answers << std::setw(8)
        << Percentile(report.latencies_ms, kP50) << std::setw(8)
        << Percentile(report.latencies_ms, kP99) << "\n";
  }
  out << "trainer: steps " << trainer_.steps << ", samples " << trainer_.samples
      << ", doubled " << trainer_.duplicated << ", lost " << trainer_.lost
      << ", stale " << trainer_.stale << ", unlabelled " << trainer_.unlabelled
      << ", versions";
  for (const std::uint64_t version : trainer_.versions) out << " " << version;
  out << ", p95 staleness " << Percentile(trainer_.staleness, kP95)
      << ", idle share " << std::setprecision(3) << IdleShare(trainer_) << "\n";
  return out.str();
}

std::string LoadReport::ToJson() const {
  std::lock_guard lock(mutex_);
  Json classes = Json::object();
  for (const auto& [name, report] : classes_) {
    classes[name] = {{"calls", report.calls},
                     {"verdicts", report.verdicts},
                     {"wrong_answers", report.wrong_answers},
                     {"p50_ms", Percentile(report.latencies_ms, kP50)},
                     {"p99_ms", Percentile(report.latencies_ms, kP99)}};
  }
  return Json{{"classes", classes},
              {"trainer",
               {{"steps", trainer_.steps},
                {"samples", trainer_.samples},
                {"doubled", trainer_.duplicated},
                {"lost", trainer_.lost},
                {"stale", trainer_.stale},
                {"unlabelled", trainer_.unlabelled},
                {"versions", trainer_.versions},
                {"p95_staleness", Percentile(trainer_.staleness, kP95)},
                {"idle_share", IdleShare(trainer_)}}}}
      .dump(2);
}

bool LoadReport::HasViolations() const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, report] : classes_) {
    if (report.wrong_answers > 0) return true;
  }
  return trainer_.duplicated > 0 || trainer_.lost > 0 || trainer_.stale > 0 ||
         trainer_.unlabelled > 0;
}

}  // namespace briarspread
