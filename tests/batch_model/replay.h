#ifndef TESTS_BATCH_MODEL_REPLAY_H_
#define TESTS_BATCH_MODEL_REPLAY_H_

#include <cstdint>
#include <string>

#include "briarspread/batch/engine_placement.h"
#include "briarspread/versions/version_planner.h"
#include "tests/batch_model/engine_batch.h"
#include "tests/batch_model/replay_load.h"

namespace briarspread::testing {

/// Which decisions are used. The defaults are the product's.
struct ReplayPolicy {
  std::string name = "product";
  /// Items in the order of `RunsBefore`; otherwise as they came.
  bool orders_items = true;
  /// Engines by `EnginePlacement`; otherwise the next in turn with a free slot.
  bool places_items = true;
  /// Items leave engines that have become slow.
  bool moves_items = true;
  /// Each version on a share of the engines; otherwise on each.
  bool shares_versions = true;
  batch::EnginePlacementSettings placement;
  versions::VersionPlannerSettings planner;
};

/// First come, first served.
ReplayPolicy FirstComeFirstServed();
/// The decisions of the first version that served a day: longest items first,
/// the emptiest engine, each version on every engine.
ReplayPolicy EarlierVersion();

/// The engines.
struct ReplayFleet {
  std::uint32_t engines = 9;
  EngineBatchSettings engine;
  /// Loads at once beyond this number slow each other down.
  std::uint32_t free_loads = 2;
  /// What a finished text waits for its reward and its listing.
  milliseconds listing{150};
};

/// What a replay came to.
struct ReplayOutcome {
  std::string policy;
  std::uint64_t groups_wanted = 0;
  std::uint64_t groups_in_time = 0;
  std::uint64_t groups_late = 0;
  /// Seconds that trainers waited, and the longest wait of one step.
  double idle_seconds = 0;
  double longest_wait = 0;
  /// Versions that results were behind the newest, on average.
  double staleness = 0;
  std::uint64_t steps = 0;
  std::uint64_t loads = 0;
  std::uint64_t moves = 0;
  std::uint64_t runs = 0;
  double prompt_tokens = 0;

  /// The part of the groups wanted that were in time.
  double in_time() const;
};

/// Plays a load against the decisions, on a clock of its own. Thread-safe.
ReplayOutcome Replay(const ReplayLoad& load, const ReplayFleet& fleet,
                     const ReplayPolicy& policy);

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_H_
