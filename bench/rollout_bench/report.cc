#include "bench/rollout_bench/report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace briarspread::bench {
namespace {

using Json = nlohmann::json;

constexpr double kPercent = 100;
/// Sizes of the plot, in pixels.
constexpr int kPanelWidth = 420;
constexpr int kPanelHeight = 300;
constexpr int kMargin = 60;

Json ToJson(const Outcome& outcome) {
  return {{"deployment", outcome.deployment},
          {"policy", outcome.policy},
          {"faults", outcome.faults},
          {"idle_share", outcome.idle_share},
          {"worst_idle_share", outcome.worst_idle_share},
          {"staleness_mean", outcome.staleness_mean},
          {"staleness_p95", outcome.staleness_p95},
          {"step_seconds_mean", outcome.step_seconds_mean},
          {"wasted_token_share", outcome.wasted_share},
          {"steps", outcome.steps},
          {"batches_per_step", outcome.batches_per_step},
          {"broken_promises", outcome.violations}};
}

Json ToJson(const StepTime& time) {
  return {{"deployment", time.deployment},
          {"samples", time.samples},
          {"seconds_without_stragglers", time.without_stragglers},
          {"seconds_hedged", time.hedged},
          {"seconds_not_hedged", time.not_hedged},
          {"hedge_cost_share", time.hedge_cost}};
}

/// One curve of a panel over the staleness weight.
struct Series {
  std::string name;
  std::string color;
  std::string unit;
  std::function<double(const Outcome&)> value;
};

const std::vector<Series>& AllSeries() {
  static const std::vector<Series> all = {
      {"worst idle share", "#c0392b", "%",
       [](const Outcome& o) { return o.worst_idle_share * kPercent; }},
      {"mean staleness", "#2060a0", "versions",
       [](const Outcome& o) { return o.staleness_mean; }}};
  return all;
}

void DrawSeries(std::ostringstream& svg, const std::vector<CurvePoint>& curve,
                const Series& series, int left, int rank) {
  double highest = 0;
  for (const CurvePoint& point : curve) {
    highest = std::max(highest, series.value(point.outcome));
  }
  const double scale = highest > 0 ? kPanelHeight / highest : 0;
  svg << "<polyline fill='none' stroke-width='2' stroke='" << series.color
      << "' points='";
  for (const CurvePoint& point : curve) {
    svg << left + point.staleness_weight * kPanelWidth << ','
        << kMargin + kPanelHeight - series.value(point.outcome) * scale << ' ';
  }
  svg << "'/>\n<text x='" << left << "' y='" << kMargin - 8 - 16 * rank
      << "' fill='" << series.color << "'>" << series.name << ", 0 to "
      << highest << ' ' << series.unit << "</text>\n";
}

void DrawPanel(std::ostringstream& svg, const std::string& title,
               const std::vector<CurvePoint>& curve, int left) {
  const int bottom = kMargin + kPanelHeight;
  svg << "<rect fill='none' stroke='#444' x='" << left << "' y='" << kMargin
      << "' width='" << kPanelWidth << "' height='" << kPanelHeight << "'/>\n"
      << "<text x='" << left << "' y='" << bottom + 20 << "'>0</text>\n"
      << "<text x='" << left + kPanelWidth - 8 << "' y='" << bottom + 20
      << "'>1</text>\n"
      << "<text x='" << left + kPanelWidth / 4 << "' y='" << bottom + 40 << "'>"
      << title << ": weight of staleness against idle time</text>\n";
  int rank = 0;
  for (const Series& series : AllSeries()) {
    DrawSeries(svg, curve, series, left, rank++);
  }
}

}  // namespace

std::string ToText(const std::vector<Outcome>& outcomes) {
  std::ostringstream out;
  out << std::fixed
      << "deployment  faults  policy          idle %  worst %  stale mean  "
         "p95  step s  wasted %  steps  batches  broken\n";
  for (const Outcome& o : outcomes) {
    out << std::left << std::setw(12) << o.deployment << std::setw(8)
        << o.faults << std::setw(14) << o.policy << std::right
        << std::setprecision(2) << std::setw(8) << o.idle_share * kPercent
        << std::setw(9) << o.worst_idle_share * kPercent << std::setw(12)
        << o.staleness_mean << std::setw(5) << o.staleness_p95
        << std::setprecision(1) << std::setw(8) << o.step_seconds_mean
        << std::setw(10) << o.wasted_share * kPercent << std::setw(7) << o.steps
        << std::setw(9) << o.batches_per_step << std::setw(8) << o.violations
        << "\n";
  }
  return out.str();
}

std::string ToText(const std::vector<StepTime>& times) {
  std::ostringstream out;
  out << std::fixed
      << "deployment  samples  no stragglers s  hedged s (ratio)  "
         "not hedged s (ratio)  hedge cost %\n";
  for (const StepTime& t : times) {
    out << std::left << std::setw(12) << t.deployment << std::right
        << std::setw(7) << t.samples << std::setprecision(1) << std::setw(17)
        << t.without_stragglers << std::setw(10) << t.hedged << " ("
        << std::setprecision(2) << t.hedged / t.without_stragglers << ")"
        << std::setprecision(1) << std::setw(15) << t.not_hedged << " ("
        << std::setprecision(2) << t.not_hedged / t.without_stragglers << ")"
        << std::setprecision(1) << std::setw(14) << t.hedge_cost * kPercent
        << "\n";
  }
  return out.str();
}

std::string ToText(const testing::TrainerModelReport& proof) {
  std::ostringstream out;
  out << "samples " << proof.samples << ", steps " << proof.steps
      << ", instances killed " << proof.kills << ", replies lost "
      << proof.lost_replies << ": lost " << proof.lost << ", doubled "
      << proof.duplicated << ", mislabelled " << proof.mislabelled
      << ", over-age " << proof.too_stale << "\n";
  return out.str();
}

std::string ToJson(const std::vector<Outcome>& outcomes,
                   const std::vector<StepTime>& times, std::uint64_t seed) {
  Json runs = Json::array();
  for (const Outcome& outcome : outcomes) runs.push_back(ToJson(outcome));
  Json steps = Json::array();
  for (const StepTime& time : times) steps.push_back(ToJson(time));
  return Json{{"seed", seed},
              {"cores", std::thread::hardware_concurrency()},
              {"runs", runs},
              {"step_times", steps}}
      .dump(2);
}

std::string ToJson(const testing::TrainerModelReport& proof,
                   std::uint64_t seed) {
  return Json{{"seed", seed},
              {"cores", std::thread::hardware_concurrency()},
              {"samples", proof.samples},
              {"steps", proof.steps},
              {"kills", proof.kills},
              {"lost_replies", proof.lost_replies},
              {"lost", proof.lost},
              {"doubled", proof.duplicated},
              {"mislabelled", proof.mislabelled},
              {"over_age", proof.too_stale}}
      .dump(2);
}

std::string ToCsv(const std::vector<CurvePoint>& curve) {
  std::ostringstream out;
  out << "deployment,staleness_weight,idle_share,worst_idle_share,"
         "staleness_mean,staleness_p95,wasted_token_share\n";
  for (const CurvePoint& point : curve) {
    const Outcome& o = point.outcome;
    out << o.deployment << ',' << point.staleness_weight << ',' << o.idle_share
        << ',' << o.worst_idle_share << ',' << o.staleness_mean << ','
        << o.staleness_p95 << ',' << o.wasted_share << "\n";
  }
  return out.str();
}

std::string ToSvg(const std::vector<CurvePoint>& curve) {
  std::map<std::string, std::vector<CurvePoint>> panels;
  for (const CurvePoint& point : curve) {
    panels[point.outcome.deployment].push_back(point);
  }
  const int step = kPanelWidth + kMargin;
  const auto width = kMargin + step * static_cast<int>(panels.size());
  std::ostringstream svg;
  svg << std::setprecision(3)
      << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
      << "' height='" << kPanelHeight + 2 * kMargin
      << "' font-family='sans-serif' font-size='13'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  int left = kMargin;
  for (const auto& [name, points] : panels) {
    DrawPanel(svg, name, points, left);
    left += step;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace briarspread::bench
