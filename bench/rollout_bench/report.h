#ifndef BENCH_ROLLOUT_BENCH_REPORT_H_
#define BENCH_ROLLOUT_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "bench/rollout_bench/scenarios.h"

namespace briarspread::bench {

/// Outcome for one staleness weight.
struct CurvePoint {
  double staleness_weight = 0;
  Outcome outcome;
};

/// Return tables as readable text.
std::string ToText(const std::vector<Outcome>& outcomes);
std::string ToText(const std::vector<StepTime>& times);
std::string ToText(const testing::TrainerModelReport& proof);
/// Return the same data as JSON text, with `seed` and the number of cores.
std::string ToJson(const std::vector<Outcome>& outcomes,
                   const std::vector<StepTime>& times, std::uint64_t seed);
std::string ToJson(const testing::TrainerModelReport& proof,
                   std::uint64_t seed);
std::string ToCsv(const std::vector<CurvePoint>& curve);
/// Returns a plot of the worst idle share and the mean staleness over the
/// staleness weight, with one panel for each deployment.
std::string ToSvg(const std::vector<CurvePoint>& curve);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_REPORT_H_
