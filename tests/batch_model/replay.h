#ifndef TESTS_BATCH_MODEL_REPLAY_H_
#define TESTS_BATCH_MODEL_REPLAY_H_

#include <cstdint>
#include <string>

#include "briarspread/batch/engine_placement.h"
#include "briarspread/versions/version_planner.h"
#include "tests/batch_model/engine_batch.h"
#include "tests/batch_model/replay_load.h"

namespace briarspread::testing {

/// The scheduling decisions that a replay uses. The defaults are those of the
/// product.
struct ReplayPolicy {
  std::string name = "product";
  /// Whether waiting items run in the order of `RunsBefore`; otherwise in the
  /// order of submission.
  bool orders_items = true;
  /// Whether `EnginePlacement` chooses engines; otherwise round robin over the
  /// engines with a free slot.
  bool places_items = true;
  /// Whether items are moved away from engines that have become slow.
  bool moves_items = true;
  /// Whether each version is loaded on a share of the engines; otherwise on
  /// all.
  bool uses_version_planner = true;
  batch::EnginePlacementSettings placement;
  versions::VersionPlannerSettings planner;
};

/// Returns the policy that serves items in the order of submission.
ReplayPolicy FirstComeFirstServed();
/// Returns the policy of the product's first version that served a whole day:
/// longest items first, on the engine with the fewest items, each version on
/// every engine.
ReplayPolicy EarlierVersion();

/// The simulated engines.
struct ReplayFleet {
  std::uint32_t engines = 9;
  EngineBatchSettings engine;
  /// Number of concurrent loads beyond which loads slow each other down.
  std::uint32_t max_full_speed_loads = 2;
  /// Time from an item's completion until its result is rewarded and listed.
  milliseconds listing{150};
};

/// The results of a replay.
struct ReplayOutcome {
  std::string policy;
  std::uint64_t groups_wanted = 0;
  std::uint64_t groups_in_time = 0;
  std::uint64_t groups_late = 0;
  /// Sum of the trainers' waits for the results of their steps, in seconds.
  double idle_seconds = 0;
  /// The longest wait for one step, in seconds.
  double longest_wait = 0;
  /// Average number of versions that a result is behind the newest one.
  double staleness = 0;
  std::uint64_t steps = 0;
  std::uint64_t loads = 0;
  std::uint64_t moves = 0;
  std::uint64_t runs = 0;
  double prompt_tokens = 0;

  /// Fraction of the wanted groups that were in time.
  double in_time() const;
};

/// Simulates a load under a policy and returns the results. Uses simulated
/// time. Thread-safe.
ReplayOutcome Replay(const ReplayLoad& load, const ReplayFleet& fleet,
                     const ReplayPolicy& policy);

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_H_
