#ifndef TESTS_ROLLOUT_MODEL_FAULT_INJECTION_H_
#define TESTS_ROLLOUT_MODEL_FAULT_INJECTION_H_

#include <cstdint>

#include "tests/rollout_model/trainer_model.h"

namespace briarspread::testing {

/// Settings of a fault-injection run. Each protection can be disabled.
struct FaultInjectionSettings {
  /// Number of samples of whole steps to deliver to all trainers together.
  std::uint64_t samples = 100'000;
  std::uint64_t seed = 20261204;
  TrainerProtections protections;
  bool enforces_staleness = true;
  bool requires_versions = true;
};

/// Simulates three trainers and three instances with injected faults: instances
/// killed before, during and after replies, lost replies, two instances that
/// run the same step, trainers restored from a saved state, swaps during
/// samples, failed swaps, failed engines with half of their runs resumed on
/// others, and engines that omit versions. Returns the sum of the trainers'
/// reports; samples of steps that did not end in time count as lost.
TrainerModelReport RunFaultInjection(const FaultInjectionSettings& settings);

/// Whether any guarantee to the trainers was violated.
bool HasViolations(const TrainerModelReport& report);

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_FAULT_INJECTION_H_
