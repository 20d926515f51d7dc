#include "bench/batch_replay/replay_report.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace briarspread::bench {
namespace {

using testing::ReplayOutcome;

constexpr double kPercent = 100;
constexpr int kWidth = 520;
constexpr int kHeight = 260;
constexpr int kMargin = 60;
constexpr std::array<const char*, 4> kColors = {"#2060a0", "#c0392b", "#27823b",
                                                "#7a4fa0"};

double MeanWait(const ReplayOutcome& outcome) {
  return outcome.steps == 0
             ? 0
             : outcome.idle_seconds / static_cast<double>(outcome.steps);
}

/// Draws the line of one policy through all points of a sweep.
void DrawLine(std::ostringstream& svg, const std::vector<SweepPoint>& points,
              std::size_t policy) {
  const double first = points.front().value;
  const double span = std::max(points.back().value - first, 1e-9);
  const char* color = kColors[policy % kColors.size()];
  svg << "<polyline fill='none' stroke-width='2' stroke='" << color
      << "' points='";
  for (const SweepPoint& point : points) {
    svg << kMargin + (point.value - first) / span * kWidth << ','
        << kMargin + kHeight * (1 - point.outcomes[policy].in_time()) << ' ';
  }
  svg << "'/>\n<text x='" << kMargin + 8 << "' y='"
      << kMargin + kHeight - 12 - 16 * static_cast<int>(policy) << "' fill='"
      << color << "'>" << points.front().outcomes[policy].policy << "</text>\n";
}

}  // namespace

std::string ToText(const std::vector<ReplayOutcome>& outcomes) {
  std::ostringstream out;
  out << std::fixed
      << "policy      in time %  late  wait s  longest  stale  loads  moves  "
         "runs  prompt tokens\n";
  for (const ReplayOutcome& it : outcomes) {
    out << std::left << std::setw(12) << it.policy << std::right
        << std::setprecision(1) << std::setw(9) << it.in_time() * kPercent
        << std::setw(6) << it.groups_late << std::setprecision(2)
        << std::setw(8) << MeanWait(it) << std::setw(9) << it.longest_wait
        << std::setw(7) << it.staleness << std::setw(7) << it.loads
        << std::setw(7) << it.moves << std::setw(6) << it.runs
        << std::setprecision(0) << std::setw(15) << it.prompt_tokens << "\n";
  }
  return out.str();
}

std::string ToJson(const std::vector<ReplayOutcome>& outcomes) {
  nlohmann::json rows = nlohmann::json::array();
  for (const ReplayOutcome& it : outcomes) {
    rows.push_back({{"policy", it.policy},
                    {"groups_wanted", it.groups_wanted},
                    {"groups_in_time", it.groups_in_time},
                    {"groups_late", it.groups_late},
                    {"mean_wait_s", MeanWait(it)},
                    {"longest_wait_s", it.longest_wait},
                    {"staleness", it.staleness},
                    {"loads", it.loads},
                    {"moves", it.moves},
                    {"runs", it.runs},
                    {"prompt_tokens", it.prompt_tokens}});
  }
  return rows.dump(2);
}

std::string ToCsv(const std::string& parameter,
                  const std::vector<SweepPoint>& points) {
  std::ostringstream out;
  out << parameter << ",policy,in_time,mean_wait_s,staleness,loads\n";
  for (const SweepPoint& point : points) {
    for (const ReplayOutcome& it : point.outcomes) {
      out << point.value << ',' << it.policy << ',' << it.in_time() << ','
          << MeanWait(it) << ',' << it.staleness << ',' << it.loads << '\n';
    }
  }
  return out.str();
}

std::string ToSvg(const std::string& parameter,
                  const std::vector<SweepPoint>& points) {
  std::ostringstream svg;
  svg << std::setprecision(4)
      << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << kWidth + 2 * kMargin << "' height='" << kHeight + 2 * kMargin
      << "' font-family='sans-serif' font-size='13'>\n"
      << "<rect fill='white' width='100%' height='100%'/>\n"
      << "<rect fill='none' stroke='#444' x='" << kMargin << "' y='" << kMargin
      << "' width='" << kWidth << "' height='" << kHeight << "'/>\n"
      << "<text x='8' y='" << kMargin + 5 << "'>100%</text>\n<text x='8' y='"
      << kMargin + kHeight << "'>0%</text>\n<text x='" << kMargin << "' y='"
      << kMargin - 14 << "'>groups in time against " << parameter
      << "</text>\n<text x='" << kMargin << "' y='" << kMargin + kHeight + 20
      << "'>" << points.front().value << "</text>\n<text x='"
      << kMargin + kWidth - 20 << "' y='" << kMargin + kHeight + 20 << "'>"
      << points.back().value << "</text>\n";
  for (std::size_t i = 0; i < points.front().outcomes.size(); ++i) {
    DrawLine(svg, points, i);
  }
  svg << "</svg>";
  return svg.str();
}

}  // namespace briarspread::bench
