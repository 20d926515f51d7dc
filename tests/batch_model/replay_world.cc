#include "tests/batch_model/replay_world.h"

#include <algorithm>
#include <cmath>

#include "briarspread/batch/item_order.h"

namespace briarspread::testing {
namespace {

/// The step of simulated time.
constexpr milliseconds kTick{5};
/// Time between two checks of running items that may have to move.
constexpr milliseconds kMoveInterval{200};
/// Time between two rounds of ordering loads.
constexpr milliseconds kPlanInterval{50};
/// Minimum time that an item runs on an engine before it is moved because the
/// engine is slow.
constexpr milliseconds kMinStay{800};
/// Time from an item's placement after which it is moved if its engine is dead.
constexpr milliseconds kDeadEngineTimeout{2200};
/// Maximum number of engines that an item avoids.
constexpr std::size_t kMaxAvoided = 2;
/// No step is submitted later than this time before the end of the load.
constexpr milliseconds kMinTimeForStep{7500};
const ServiceName kService("s");

}  // namespace

ReplayWorld::ReplayWorld(const ReplayLoad& load, const ReplayFleet& fleet,
                         const ReplayPolicy& policy)
    : load_(load),
      fleet_(fleet),
      policy_(policy),
      placement_(policy.placement),
      planner_(policy.planner),
      start_(std::chrono::hours(1)),
      now_(start_) {
  for (std::uint32_t i = 0; i < fleet.engines; ++i) {
    engines_.push_back({EngineBatch(fleet.engine), {}, std::nullopt, {}, 0});
    for (std::size_t t = 0; t < load.trainers.size(); ++t) {
      engines_.back().versions[t] = 1;
    }
  }
  for (std::size_t t = 0; t < load.trainers.size(); ++t) {
    Trainer trainer;
    trainer.load = &load.trainers[t];
    // The trainers' first submissions are spread over one submission interval.
    trainer.next_submission =
        start_ + load.trainers[t].submit_interval *
                     static_cast<std::int64_t>(t) /
                     static_cast<std::int64_t>(load.trainers.size());
    trainers_.push_back(trainer);
  }
  outcome_.policy = policy.name;
}

ModelName ReplayWorld::ModelOf(std::size_t trainer) {
  return ModelName("m" + std::to_string(trainer));
}

UpstreamId ReplayWorld::IdOf(std::size_t engine) {
  return UpstreamId("e" + std::to_string(engine));
}

ReplayOutcome ReplayWorld::Run() {
  const auto is_due = [this](milliseconds every) {
    return (now_ - start_) % every == Duration(0);
  };
  while (now_ < start_ + load_.length) {
    ApplyFaults();
    for (std::size_t t = 0; t < trainers_.size(); ++t) StepTrainer(t);
    FinishLoads();
    if (is_due(kPlanInterval)) OrderLoads();
    if (is_due(kMoveInterval)) MoveItems();
    PlaceItems();
    AdvanceEngines(kTick);
    now_ += kTick;
  }
  for (const Engine& engine : engines_) {
    outcome_.prompt_tokens += engine.batch.prefilled();
  }
  if (items_done_ > 0) outcome_.staleness /= static_cast<double>(items_done_);
  return outcome_;
}

void ReplayWorld::ApplyFaults() {
  for (const LoadFault& fault : load_.faults) {
    if (fault.engine >= engines_.size()) continue;
    const bool is_on = now_ >= start_ + fault.from && now_ < start_ + fault.to;
    engines_[fault.engine].batch.SetSlowdown(is_on ? fault.slowdown : 1);
  }
}

// --- Trainers

void ReplayWorld::StepTrainer(std::size_t t) {
  Trainer& trainer = trainers_[t];
  if (trainer.version_due_at.has_value() && now_ >= *trainer.version_due_at) {
    trainer.version_due_at.reset();
    ++trainer.newest_version;
  }
  if (trainer.step.has_value()) {
    CheckStep(t);
    return;
  }
  const bool may_submit = !trainer.version_due_at.has_value() &&
                          now_ >= trainer.next_submission &&
                          trainer.next_step < trainer.load->steps.size() &&
                          now_ + kMinTimeForStep <= start_ + load_.length;
  if (may_submit) Submit(t);
}

void ReplayWorld::Submit(std::size_t t) {
  Trainer& trainer = trainers_[t];
  const LoadStep& load = trainer.load->steps[trainer.next_step++];
  trainer.next_submission = now_ + trainer.load->submit_interval;
  Step step;
  step.submitted_at = now_;
  // The results of a step may come from the version before the newest.
  step.oldest_allowed = std::max<std::uint64_t>(1, trainer.newest_version - 1);
  step.items = std::exchange(trainer.incomplete_items, {});
  for (const std::uint64_t id : step.items) {
    Item& item = items_[id];
    item.is_resumed = true;
    if (item.phase == Phase::kWaiting) waiting_.push_back(id);
    if (item.version < step.oldest_allowed) item.events_done = 0;
  }
  std::map<std::uint32_t, std::uint64_t> prompts;
  for (const LoadItem& spec : load.items) {
    const auto [at, is_new] = prompts.try_emplace(spec.group, next_prompt_);
    next_prompt_ += is_new;
    Item item;
    item.spec = spec;
    item.trainer = t;
    item.prompt = at->second;
    items_.push_back(item);
    step.items.push_back(items_.size() - 1);
    waiting_.push_back(items_.size() - 1);
  }
  const auto groups = static_cast<double>(prompts.size());
  step.wanted = static_cast<std::uint64_t>(
      std::ceil(trainer.load->wanted_fraction * groups));
  outcome_.groups_wanted += step.wanted;
  ++outcome_.steps;
  trainer.step = std::move(step);
}

std::map<std::uint32_t, std::vector<std::uint64_t>> ReplayWorld::GroupsOf(
    const Step& step) const {
  std::map<std::uint32_t, std::vector<std::uint64_t>> groups;
  for (const std::uint64_t id : step.items) {
    groups[static_cast<std::uint32_t>(items_[id].prompt)].push_back(id);
  }
  return groups;
}

void ReplayWorld::CheckStep(std::size_t t) {
  const Trainer& trainer = trainers_[t];
  const Step& step = *trainer.step;
  std::uint64_t complete = 0;
  for (const auto& [prompt, members] : GroupsOf(step)) {
    complete +=
        std::all_of(members.begin(), members.end(), [this](std::uint64_t id) {
          return items_[id].phase == Phase::kComplete &&
                 now_ >= items_[id].listed_at;
        });
  }
  const bool is_over = now_ - step.submitted_at >= trainer.load->wait_timeout;
  if (complete >= step.wanted || is_over) EndStep(t, complete);
}

void ReplayWorld::EndStep(std::size_t t, std::uint64_t complete) {
  Trainer& trainer = trainers_[t];
  const Step step = std::move(*trainer.step);
  trainer.step.reset();
  const Duration waited = now_ - step.submitted_at;
  const std::uint64_t counted = std::min(complete, step.wanted);
  std::uint64_t in_time = 0;
  for (const auto& [prompt, members] : GroupsOf(step)) {
    const bool is_in_time =
        std::all_of(members.begin(), members.end(), [&](std::uint64_t id) {
          const Item& item = items_[id];
          return item.phase == Phase::kComplete && now_ >= item.listed_at &&
                 item.listed_at <= step.submitted_at + trainer.load->due;
        });
    in_time += is_in_time;
    const bool is_listed =
        std::all_of(members.begin(), members.end(), [this](std::uint64_t id) {
          return items_[id].phase == Phase::kComplete &&
                 now_ >= items_[id].listed_at;
        });
    if (is_listed) continue;
    for (const std::uint64_t id : members) {
      StopRun(id);
      trainer.incomplete_items.push_back(id);
    }
  }
  in_time = std::min(in_time, counted);
  outcome_.groups_in_time += in_time;
  outcome_.groups_late += counted - in_time;
  outcome_.idle_seconds += SecondsOf(waited);
  outcome_.longest_wait = std::max(outcome_.longest_wait, SecondsOf(waited));
  std::erase_if(waiting_, [&](std::uint64_t id) {
    return std::find(step.items.begin(), step.items.end(), id) !=
           step.items.end();
  });
  trainer.version_due_at = now_ + trainer.load->training_time;
}

// --- Versions

std::vector<versions::VersionOrder> ReplayWorld::PlanLoads() const {
  std::vector<versions::ModelTarget> targets;
  for (std::size_t t = 0; t < trainers_.size(); ++t) {
    targets.push_back({ModelOf(t), WeightVersion(trainers_[t].newest_version)});
  }
  std::vector<versions::EngineState> states;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const Engine& engine = engines_[i];
    versions::EngineState state;
    state.id = IdOf(i);
    for (const auto& [t, version] : engine.versions) {
      state.loaded.push_back({ModelOf(t), WeightVersion(version)});
    }
    state.is_blocked = engine.loading.has_value() || engine.batch.is_dead();
    state.is_open = !engine.batch.is_dead();
    if (engine.loading.has_value()) state.loading = ModelOf(*engine.loading);
    states.push_back(std::move(state));
  }
  return planner_.Next(targets, states);
}

void ReplayWorld::OrderLoads() {
  if (!policy_.uses_version_planner) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      for (std::size_t t = 0; t < trainers_.size(); ++t) {
        const Engine& engine = engines_[i];
        if (engine.loading.has_value() || engine.batch.is_dead()) break;
        if (engine.versions.at(t) < trainers_[t].newest_version) {
          StartLoad(i, t, trainers_[t].newest_version);
        }
      }
    }
    return;
  }
  for (const versions::VersionOrder& order : PlanLoads()) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (IdOf(i) != order.engine) continue;
      for (std::size_t t = 0; t < trainers_.size(); ++t) {
        if (ModelOf(t) == order.model) StartLoad(i, t, order.version.value());
      }
    }
  }
}

void ReplayWorld::StartLoad(std::size_t engine, std::size_t trainer,
                            std::uint64_t version) {
  const auto loading = static_cast<std::uint32_t>(std::count_if(
      engines_.begin(), engines_.end(),
      [](const Engine& each) { return each.loading.has_value(); }));
  const double slowdown = std::max(
      1.0, static_cast<double>(loading + 1) / fleet_.max_full_speed_loads);
  Engine& loading_engine = engines_[engine];
  loading_engine.loading = trainer;
  loading_engine.loading_version = version;
  loading_engine.loaded_at = now_ + std::chrono::duration_cast<Duration>(
                                        fleet_.engine.load_time * slowdown);
  loading_engine.batch.Load(loading_engine.loaded_at);
  ++outcome_.loads;
}

void ReplayWorld::FinishLoads() {
  for (Engine& engine : engines_) {
    if (!engine.loading.has_value() || now_ < engine.loaded_at) continue;
    engine.versions[*engine.loading] = engine.loading_version;
    engine.loading.reset();
  }
}

// --- Items

std::vector<batch::EngineView> ReplayWorld::ViewsFor(const Item& item) const {
  std::vector<batch::EngineView> views;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const Engine& engine = engines_[i];
    batch::EngineView view;
    view.id = IdOf(i);
    view.slots = fleet_.engine.slots;
    view.own_in_flight = static_cast<std::uint32_t>(engine.batch.runs().size());
    view.version = WeightVersion(engine.versions.at(item.trainer));
    view.is_usable = !engine.loading.has_value();
    if (!engine.batch.runs().empty()) {
      view.event_interval = engine.batch.EventInterval();
      view.is_interval_fresh = true;
    }
    views.push_back(view);
  }
  return views;
}

batch::EngineRequirements ReplayWorld::NeedOf(
    const Item& item, std::uint64_t oldest_allowed) const {
  batch::EngineRequirements need;
  need.oldest_allowed = WeightVersion(oldest_allowed);
  need.avoided_engines = item.avoid;
  const auto at = engine_of_prompt_.find(item.prompt);
  if (at != engine_of_prompt_.end()) need.preferred_engine = IdOf(at->second);
  double sum = 0;
  const Step& step = *trainers_[item.trainer].step;
  for (const std::uint64_t id : step.items) {
    sum += items_[id].spec.estimated_events;
  }
  need.relative_length = item.spec.estimated_events /
                         (sum / static_cast<double>(step.items.size()));
  return need;
}

std::optional<std::size_t> ReplayWorld::ChooseEngine(
    const Item& item, std::uint64_t oldest_allowed) {
  if (policy_.places_items) {
    return placement_.Choose(NeedOf(item, oldest_allowed), ViewsFor(item));
  }
  for (std::size_t k = 0; k < engines_.size(); ++k) {
    const std::size_t i = (next_round_robin_engine_ + k) % engines_.size();
    const Engine& engine = engines_[i];
    const bool fits = !engine.loading.has_value() &&
                      engine.versions.at(item.trainer) >= oldest_allowed &&
                      engine.batch.runs().size() < fleet_.engine.slots;
    if (!fits) continue;
    next_round_robin_engine_ = i + 1;
    return i;
  }
  return std::nullopt;
}

void ReplayWorld::PlaceItems() {
  std::vector<std::uint64_t> order = waiting_;
  if (policy_.orders_items) {
    const auto key = [this](std::uint64_t id) {
      const Item& item = items_[id];
      const Trainer& trainer = trainers_[item.trainer];
      return batch::WaitingItem{trainer.step->submitted_at + trainer.load->due,
                                item.is_resumed, item.spec.estimated_events};
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::uint64_t a, std::uint64_t b) {
                       return batch::RunsBefore(key(a), key(b));
                     });
  }
  for (const std::uint64_t id : order) PlaceItem(id);
}

void ReplayWorld::PlaceItem(std::uint64_t id) {
  Item& item = items_[id];
  const std::uint64_t oldest = trainers_[item.trainer].step->oldest_allowed;
  const auto chosen = ChooseEngine(item, oldest);
  if (!chosen.has_value()) return;
  Engine& engine = engines_[*chosen];
  if (item.events_done == 0) item.version = engine.versions.at(item.trainer);
  item.phase = Phase::kRunning;
  item.engine = *chosen;
  item.placed_at = now_;
  engine.batch.Start(id, item.prompt, item.spec.events, item.events_done);
  engine_of_prompt_[item.prompt] = *chosen;
  ++outcome_.runs;
  std::erase(waiting_, id);
}

void ReplayWorld::StopRun(std::uint64_t id) {
  Item& item = items_[id];
  if (item.phase != Phase::kRunning) return;
  item.events_done = std::floor(engines_[item.engine].batch.Stop(id));
  item.phase = Phase::kWaiting;
}

void ReplayWorld::MoveItems() {
  for (std::uint64_t id = 0; id < items_.size(); ++id) {
    Item& item = items_[id];
    if (item.phase != Phase::kRunning) continue;
    const bool is_engine_dead = engines_[item.engine].batch.is_dead() &&
                                now_ - item.placed_at >= kDeadEngineTimeout;
    const std::uint64_t oldest = trainers_[item.trainer].step->oldest_allowed;
    const bool is_slow = policy_.moves_items &&
                         now_ - item.placed_at >= kMinStay &&
                         placement_.IsWorthMoving(
                             item.engine, NeedOf(item, oldest), ViewsFor(item));
    if (!is_engine_dead && !is_slow) continue;
    item.avoid.push_back(IdOf(item.engine));
    if (item.avoid.size() > kMaxAvoided) item.avoid.erase(item.avoid.begin());
    StopRun(id);
    waiting_.push_back(id);
    ++outcome_.moves;
    PlaceItem(id);
  }
}

void ReplayWorld::AdvanceEngines(Duration step) {
  for (Engine& engine : engines_) {
    if (engine.batch.IsLoading(now_)) continue;
    for (const std::uint64_t id : engine.batch.Advance(step)) {
      Item& item = items_[id];
      item.phase = Phase::kComplete;
      item.listed_at = now_ + fleet_.listing;
      const std::uint64_t newest = trainers_[item.trainer].newest_version;
      outcome_.staleness += static_cast<double>(newest - item.version);
      ++items_done_;
    }
  }
}

}  // namespace briarspread::testing
