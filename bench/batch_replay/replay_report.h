#ifndef BENCH_BATCH_REPLAY_REPLAY_REPORT_H_
#define BENCH_BATCH_REPLAY_REPLAY_REPORT_H_

#include <string>
#include <vector>

#include "tests/batch_model/replay.h"

namespace briarspread::bench {

/// One point of a sweep: the parameter's value and each policy's outcome.
struct SweepPoint {
  double value = 0;
  std::vector<testing::ReplayOutcome> outcomes;
};

/// Returns the outcomes as a table in plain text.
std::string ToText(const std::vector<testing::ReplayOutcome>& outcomes);
/// Returns the outcomes as JSON.
std::string ToJson(const std::vector<testing::ReplayOutcome>& outcomes);
/// Returns the outcomes of a sweep as comma-separated values.
std::string ToCsv(const std::string& parameter,
                  const std::vector<SweepPoint>& points);
/// Returns an SVG plot of the fraction of groups in time against the parameter.
std::string ToSvg(const std::string& parameter,
                  const std::vector<SweepPoint>& points);

}  // namespace briarspread::bench

#endif  // BENCH_BATCH_REPLAY_REPLAY_REPORT_H_
