#ifndef TESTS_BATCH_MODEL_REPLAY_LOAD_H_
#define TESTS_BATCH_MODEL_REPLAY_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/result.h"

namespace briarspread::testing {

/// An item of the load: how long it truly is, and what its trainer guesses.
struct LoadItem {
  /// Events that it makes.
  std::uint32_t events = 1;
  std::uint32_t guessed_events = 1;
  std::uint32_t group = 0;
};

/// What one trainer asks for in one step.
struct LoadStep {
  std::vector<LoadItem> items;
};

/// One trainer and its steps.
struct LoadTrainer {
  /// The earliest time between two steps' submissions.
  milliseconds every{4000};
  milliseconds due{7500};
  /// When it stops waiting.
  milliseconds gives_up{12000};
  milliseconds trains{500};
  /// The part of the groups that it waits for.
  double wanted = 0.9;
  std::vector<LoadStep> steps;
};

/// An engine that is slower for a while, or dead.
struct LoadFault {
  std::uint32_t engine = 0;
  milliseconds from{0};
  milliseconds to{0};
  /// How many times slower; zero for dead.
  double slower = 0;
};

/// All that the decisions are to answer.
struct ReplayLoad {
  std::vector<LoadTrainer> trainers;
  std::vector<LoadFault> faults;
  milliseconds length{34000};
};

/// How a load is generated.
struct LoadShape {
  std::uint32_t trainers = 3;
  std::uint32_t steps = 9;
  std::uint32_t groups = 16;
  std::uint32_t items_a_group = 4;
  /// Events of an item: lognormal with a long tail, cut at `max_events`.
  double mean_events = 20;
  double spread = 0.84;
  double tail = 0.08;
  double tail_times = 5;
  std::uint32_t max_events = 146;
  /// Spread of the trainers' guesses.
  double guess_spread = 0.5;
  /// Multiplies the groups of each step: the load at its worst.
  double load = 1;
  /// Engines that are slow in the middle of the run, and how much.
  std::uint32_t slow_engines = 0;
  double slower = 3.5;
  /// Engines that are dead in the middle of the run.
  std::uint32_t dead_engines = 0;
  std::uint64_t seed = 20261204;
};

/// Draws a load. Thread-safe.
ReplayLoad GenerateLoad(const LoadShape& shape);

/// JSON of a load, so that a recorded one can be replayed. Parsing gives
/// `kInvalidArgument` with the reason for malformed text. Thread-safe.
std::string FormatLoad(const ReplayLoad& load);
Result<ReplayLoad> ParseLoad(const std::string& text);

}  // namespace briarspread::testing

#endif  // TESTS_BATCH_MODEL_REPLAY_LOAD_H_
