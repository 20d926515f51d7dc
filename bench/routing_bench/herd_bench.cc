#include "bench/routing_bench/herd_bench.h"

#include <memory>

#include "bench/routing_bench/herd_model.h"
#include "briarspread/routing/baseline_routers.h"
#include "briarspread/routing/two_choices_router.h"

namespace briarspread::bench {
namespace {

HerdResult RunOne(const std::string& name, std::uint64_t seed,
                  const HerdSettings& settings, const RouterFactory& factory) {
  HerdModel model(seed, settings, factory);
  HerdResult result = model.Run();
  result.router = name;
  return result;
}

}  // namespace

std::vector<HerdResult> RunHerdBench(std::uint64_t seed,
                                     const HerdSettings& settings) {
  std::vector<HerdResult> results;
  results.push_back(RunOne(
      "round robin", seed, settings,
      [](int instance, RandomSource& /*random*/, const Clock& /*clock*/) {
        return std::make_unique<RoundRobinRouter>(instance);
      }));
  results.push_back(RunOne(
      "least reported load", seed, settings,
      [](int /*instance*/, RandomSource& /*random*/, const Clock& /*clock*/) {
        return std::make_unique<LeastReportedLoadRouter>();
      }));
  results.push_back(RunOne(
      "fewest own in flight", seed, settings,
      [](int /*instance*/, RandomSource& /*random*/, const Clock& /*clock*/) {
        return std::make_unique<FewestInFlightRouter>();
      }));
  results.push_back(
      RunOne("two choices", seed, settings,
             [](int /*instance*/, RandomSource& random, const Clock& clock) {
               return std::make_unique<TwoChoicesRouter>(TwoChoicesSettings{},
                                                         random, clock);
             }));
  return results;
}

}  // namespace briarspread::bench
