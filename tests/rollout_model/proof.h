#ifndef TESTS_ROLLOUT_MODEL_PROOF_H_
#define TESTS_ROLLOUT_MODEL_PROOF_H_

#include <cstdint>

#include "tests/rollout_model/trainer_model.h"

namespace briarspread::testing {

/// What a proof run is like. Each protection can be switched off.
struct ProofSettings {
  /// Samples of whole steps to deliver, over all trainers.
  std::uint64_t samples = 100'000;
  std::uint64_t seed = 20261204;
  TrainerProtections protections;
  bool enforces_staleness = true;
  bool requires_versions = true;
};

/// Three trainers and three instances under faults: instances killed before,
/// in and after replies, replies lost, two instances that run one step,
/// trainers restored from a saved state, swaps within samples, failed swaps,
/// engines lost with half of their runs resumed elsewhere, and engines that
/// omit versions. The report is what the trainers saw, summed up; samples of
/// steps that did not end in time count as lost.
TrainerModelReport RunProof(const ProofSettings& settings);

/// Whether any promise to the trainers was broken.
bool IsBroken(const TrainerModelReport& report);

}  // namespace briarspread::testing

#endif  // TESTS_ROLLOUT_MODEL_PROOF_H_
