#ifndef TESTS_BATCH_MODEL_REPLAY_LOAD_H_
#define TESTS_BATCH_MODEL_REPLAY_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/result.h"

namespace briarspread::testing {

/// An item of the load.
struct LoadItem {
  /// Number of events that complete the item.
  std::uint32_t events = 1;
  /// The trainer's estimate of `events`.
  std::uint32_t estimated_events = 1;
  std::uint32_t group = 0;
};

/// The items that a trainer submits in one step.
struct LoadStep {
  std::vector<LoadItem> items;
};

/// A trainer and its steps.
struct LoadTrainer {
  /// Minimum time between the submissions of two steps.
  milliseconds submit_interval{4000};
  /// Time from a step's submission until its results are due.
  milliseconds due{7500};
  /// Time from a step's submission after which the trainer stops waiting.
  milliseconds wait_timeout{12000};
  /// Time from the end of a step until the trainer names the next version.
  milliseconds training_time{500};
  /// Fraction of a step's groups that the trainer waits for.
  double wanted_fraction = 0.9;
  std::vector<LoadStep> steps;
};

/// A period in which an engine is slower, or dead.
struct LoadFault {
  std::uint32_t engine = 0;
  milliseconds from{0};
  milliseconds to{0};
  /// Factor by which the engine is slower; zero for dead.
  double slowdown = 0;
};

/// The input of a replay.
struct ReplayLoad {
  std::vector<LoadTrainer> trainers;
  std::vector<LoadFault> faults;
  milliseconds length{34000};
};

/// Parameters of a generated load.
struct LoadShape {
  std::uint32_t trainers = 3;
  /// Steps of each trainer.
  std::uint32_t steps = 9;
  /// Groups of each step.
  std::uint32_t groups = 16;
  std::uint32_t items_per_group = 4;
  /// The number of events of an item is drawn from a lognormal distribution
  /// with this mean; `spread` is the standard deviation of the logarithm.
  double mean_events = 20;
  double spread = 0.84;
  /// Probability that an item's number of events is multiplied by
  /// `tail_factor`.
  double tail_probability = 0.08;
  double tail_factor = 5;
  /// Upper limit of an item's number of events.
  std::uint32_t max_events = 146;
  /// Standard deviation of the logarithm of the trainers' estimates relative to
  /// the true number of events.
  double estimate_spread = 0.5;
  /// Factor on the number of groups of each step, to simulate peak load.
  double load_factor = 1;
  /// Number of engines that are slow during the middle half of the run.
  std::uint32_t slow_engines = 0;
  /// Factor by which they are slower.
  double slowdown = 3.5;
  /// Number of engines that are dead during the middle half of the run.
  std::uint32_t dead_engines = 0;
  std::uint64_t seed = 20261204;
};

/// Generates a load; the same shape gives the same load. Thread-safe.
ReplayLoad GenerateLoad(const LoadShape& shape);

/// Returns a load as JSON, so that it can be replayed later. Thread-safe.
std::string FormatLoad(const ReplayLoad& load);
/// Parses the JSON of a load. Returns `kInvalidArgument` with the reason for
/// malformed text. Thread-safe.
Result<ReplayLoad> ParseLoad(const std::string& text);

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_LOAD_H_
