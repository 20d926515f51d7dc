#ifndef BENCH_ROLLOUT_BENCH_REPORT_H_
#define BENCH_ROLLOUT_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "bench/rollout_bench/scenarios.h"

namespace briarspread::bench {

/// One point of the objective's curve.
struct CurvePoint {
  double staleness_weight = 0;
  Outcome outcome;
};

/// Tables for people.
std::string ToText(const std::vector<Outcome>& outcomes);
std::string ToText(const std::vector<StepTime>& times);
std::string ToText(const testing::TrainerModelReport& proof);
/// The same as JSON text. `seed` and the core count are part of it.
std::string ToJson(const std::vector<Outcome>& outcomes,
                   const std::vector<StepTime>& times, std::uint64_t seed);
std::string ToJson(const testing::TrainerModelReport& proof,
                   std::uint64_t seed);
std::string ToCsv(const std::vector<CurvePoint>& curve);
/// A plot of idle share and mean staleness over the objective, one panel for
/// each deployment.
std::string ToSvg(const std::vector<CurvePoint>& curve);

}  // namespace briarspread::bench

#endif  // BENCH_ROLLOUT_BENCH_REPORT_H_
