#include "tests/batch_model/replay_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

namespace briarspread::testing {
namespace {

using Json = nlohmann::json;

/// Faults begin after this part (1/4) of a run, and end as long before its end.
constexpr int kFaultStartDivisor = 4;

/// Draws from the lognormal distribution with this mean, where `spread` is the
/// standard deviation of the logarithm.
double DrawLognormal(std::mt19937_64& random, double mean, double spread) {
  std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2,
                                           spread);
  return draw(random);
}

LoadItem DrawItem(const LoadShape& shape, std::mt19937_64& random) {
  std::uniform_real_distribution<double> fraction(0, 1);
  double events = DrawLognormal(random, shape.mean_events, shape.spread);
  if (fraction(random) < shape.tail_probability) events *= shape.tail_factor;
  LoadItem item;
  item.events = static_cast<std::uint32_t>(
      std::clamp(events, 1.0, static_cast<double>(shape.max_events)));
  std::lognormal_distribution<double> estimate_error(0, shape.estimate_spread);
  item.estimated_events = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(item.events * estimate_error(random)));
  return item;
}

LoadStep DrawStep(const LoadShape& shape, std::mt19937_64& random) {
  const auto groups = static_cast<std::uint32_t>(
      std::max(1.0, std::round(shape.groups * shape.load_factor)));
  LoadStep step;
  for (std::uint32_t group = 0; group < groups; ++group) {
    for (std::uint32_t i = 0; i < shape.items_per_group; ++i) {
      step.items.push_back(DrawItem(shape, random));
      step.items.back().group = group;
    }
  }
  return step;
}

void AddFaults(const LoadShape& shape, ReplayLoad& load) {
  const milliseconds from = load.length / kFaultStartDivisor;
  const milliseconds to = load.length - from;
  for (std::uint32_t i = 0; i < shape.slow_engines; ++i) {
    load.faults.push_back({i, from, to, shape.slowdown});
  }
  for (std::uint32_t i = 0; i < shape.dead_engines; ++i) {
    load.faults.push_back({shape.slow_engines + i, from, to, 0});
  }
}

milliseconds TimeIn(const Json& json, const char* name) {
  const auto ms = json.at(name).get<std::int64_t>();
  constexpr std::int64_t kLongest = 86'400'000;
  if (ms < 0 || ms > kLongest) {
    throw std::out_of_range(std::string(name) + " is out of range");
  }
  return milliseconds(ms);
}

LoadTrainer TrainerFrom(const Json& json) {
  LoadTrainer trainer;
  trainer.submit_interval = TimeIn(json, "every_ms");
  trainer.due = TimeIn(json, "due_ms");
  trainer.wait_timeout = TimeIn(json, "gives_up_ms");
  trainer.training_time = TimeIn(json, "trains_ms");
  trainer.wanted_fraction = json.at("wanted").get<double>();
  for (const Json& step : json.at("steps")) {
    LoadStep read;
    for (const Json& item : step) {
      read.items.push_back({std::max(1U, item.at(0).get<std::uint32_t>()),
                            std::max(1U, item.at(1).get<std::uint32_t>()),
                            item.at(2).get<std::uint32_t>()});
    }
    trainer.steps.push_back(std::move(read));
  }
  return trainer;
}

Json ToJson(const LoadTrainer& trainer) {
  Json steps = Json::array();
  for (const LoadStep& step : trainer.steps) {
    Json items = Json::array();
    for (const LoadItem& item : step.items) {
      items.push_back({item.events, item.estimated_events, item.group});
    }
    steps.push_back(std::move(items));
  }
  return {{"every_ms", trainer.submit_interval.count()},
          {"due_ms", trainer.due.count()},
          {"gives_up_ms", trainer.wait_timeout.count()},
          {"trains_ms", trainer.training_time.count()},
          {"wanted", trainer.wanted_fraction},
          {"steps", std::move(steps)}};
}

}  // namespace

ReplayLoad GenerateLoad(const LoadShape& shape) {
  std::mt19937_64 random(shape.seed);
  ReplayLoad load;
  for (std::uint32_t i = 0; i < shape.trainers; ++i) {
    LoadTrainer trainer;
    for (std::uint32_t step = 0; step < shape.steps; ++step) {
      trainer.steps.push_back(DrawStep(shape, random));
    }
    load.trainers.push_back(std::move(trainer));
  }
  AddFaults(shape, load);
  return load;
}

std::string FormatLoad(const ReplayLoad& load) {
  Json trainers = Json::array();
  for (const LoadTrainer& it : load.trainers) trainers.push_back(ToJson(it));
  Json faults = Json::array();
  for (const LoadFault& it : load.faults) {
    faults.push_back({{"engine", it.engine},
                      {"from_ms", it.from.count()},
                      {"to_ms", it.to.count()},
                      {"slower", it.slowdown}});
  }
  return Json{{"length_ms", load.length.count()},
              {"trainers", std::move(trainers)},
              {"faults", std::move(faults)}}
      .dump();
}

Result<ReplayLoad> ParseLoad(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    ReplayLoad load;
    load.length = TimeIn(json, "length_ms");
    for (const Json& it : json.at("trainers")) {
      load.trainers.push_back(TrainerFrom(it));
    }
    for (const Json& it : json.at("faults")) {
      load.faults.push_back({it.at("engine").get<std::uint32_t>(),
                             TimeIn(it, "from_ms"), TimeIn(it, "to_ms"),
                             it.at("slower").get<double>()});
    }
    return load;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 std::string("load: ") + error.what()};
  }
}

}  // namespace briarspread::testing
