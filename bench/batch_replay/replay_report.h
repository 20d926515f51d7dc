#ifndef BENCH_BATCH_REPLAY_REPLAY_REPORT_H_
#define BENCH_BATCH_REPLAY_REPLAY_REPORT_H_

#include <string>
#include <vector>

#include "tests/batch_model/replay.h"

namespace briarspread::bench {

/// One point of a sweep: the parameter's value and what the policies came to.
struct SweepPoint {
  double value = 0;
  std::vector<testing::ReplayOutcome> outcomes;
};

/// Outcomes for people, and as JSON.
std::string ToText(const std::vector<testing::ReplayOutcome>& outcomes);
std::string ToJson(const std::vector<testing::ReplayOutcome>& outcomes);
/// A sweep as lines of comma-separated values, and as a plot of the groups in
/// time against the parameter.
std::string ToCsv(const std::string& parameter,
                  const std::vector<SweepPoint>& points);
std::string ToSvg(const std::string& parameter,
                  const std::vector<SweepPoint>& points);

}  // namespace briarspread::bench

#endif  // BENCH_BATCH_REPLAY_REPLAY_REPORT_H_
