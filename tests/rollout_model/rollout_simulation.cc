#include "tests/rollout_model/rollout_simulation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarspread::testing {
namespace {

constexpr char kCursorKey[] = "key of the model's instances";
constexpr seconds kTick{1};
/// Number of last tokens whose version an engine may omit.
constexpr std::uint32_t kOmittedTokens = 5;

}  // namespace

RolloutSimulation::RolloutSimulation(const SimulationSettings& settings,
                                     const RolloutSchedulerSettings& scheduler)
    : settings_(settings),
      scheduler_settings_(scheduler),
      start_(clock_.Now()),
      random_(settings.seed),
      instances_(settings.instances) {
  for (std::size_t i = 0; i < settings.engines; ++i) {
    engines_.push_back(std::make_unique<EngineModel>(
        "engine-" + std::to_string(i), settings.slots_per_engine,
        settings.tokens_per_second));
    engines_.back()->Advance(start_);
  }
  for (std::size_t i = 0; i < settings.instances; ++i) Kill(i);
  for (const EngineOutage& outage : settings.outages) {
    clock_.ScheduleAfter(outage.begins,
                         [this, outage] { BeginOutage(outage); });
  }
  if (settings.swap_interval > Duration::zero()) {
    clock_.ScheduleAfter(settings.swap_interval, [this] { ReleaseVersion(); });
  }
  clock_.ScheduleAfter(kTick, [this] { Tick(); });
}

void RolloutSimulation::RunUntil(const std::function<bool()>& done,
                                 Duration limit) {
  while (!done() && clock_.Now() - start_ < limit && clock_.RunNext()) {
  }
}

void RolloutSimulation::Kill(std::size_t i) {
  Instance& instance = instances_[i];
  ++instance.incarnation;
  instance.scheduler = std::make_unique<RolloutScheduler>(
      scheduler_settings_, kCursorKey, rules_, clock_);
  // The connections of the killed instance are closed, so engines stop its
  // runs.
  for (const auto& engine : engines_) {
    engine->Advance(clock_.Now());
    std::erase_if(engine->runs(), [&](const auto& entry) {
      return OwnerOf(entry.second) == nullptr;
    });
  }
}

RolloutScheduler* RolloutSimulation::OwnerOf(const EngineRun& run) {
  const Instance& instance = instances_[run.instance];
  return instance.incarnation == run.incarnation ? instance.scheduler.get()
                                                 : nullptr;
}

void RolloutSimulation::Tick() {
  ReportProgress();
  CancelRuns();
  OfferSlots();
  clock_.ScheduleAfter(kTick, [this] { Tick(); });
}

void RolloutSimulation::ReportProgress() {
  for (const auto& engine : engines_) {
    engine->Advance(clock_.Now());
    for (const auto& [key, run] : engine->runs()) {
      RunProgress progress;
      progress.upstream = engine->name();
      progress.tokens = static_cast<std::uint32_t>(run.generated_tokens);
      if (!run.spans.empty()) progress.oldest = OldestVersion(run.spans);
      OwnerOf(run)->OnProgress(run.id, progress);
    }
  }
}

void RolloutSimulation::CancelRuns() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto named = instances_[i].scheduler->RunsToCancel();
    const std::set<RunId> cancelled(named.begin(), named.end());
    if (cancelled.empty()) continue;
    for (const auto& engine : engines_) {
      std::erase_if(engine->runs(), [&](const auto& entry) {
        return entry.second.instance == i &&
               cancelled.contains(entry.second.id);
      });
    }
    for (const RunId run : named) instances_[i].scheduler->OnFailed(run);
  }
}

void RolloutSimulation::ReleaseVersion() {
  newest_ = WeightVersion(newest_.value() + 1);
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (random_.Fraction() < settings_.failed_swaps) continue;
    clock_.ScheduleAfter(
        settings_.swap_stagger * (i + 1),
        [this, i, version = newest_] { SwapEngine(i, version); });
  }
  clock_.ScheduleAfter(settings_.swap_interval, [this] { ReleaseVersion(); });
}

void RolloutSimulation::SwapEngine(std::size_t i, WeightVersion version) {
  EngineModel& engine = *engines_[i];
  if (!engine.is_up()) return;
  const TimePoint now = clock_.Now();
  engine.Swap(version, now, now + settings_.swap_pause);
  for (const auto& entry : engine.runs()) SetTimer(engine, entry.first);
  clock_.ScheduleAfter(settings_.report_lag, [&engine] { engine.Report(); });
}

void RolloutSimulation::BeginOutage(const EngineOutage& outage) {
  for (std::size_t i = outage.first; i < outage.end; ++i) {
    for (const EngineRun& run : engines_[i]->Fail(clock_.Now())) {
      if (!TryResume(run)) OwnerOf(run)->OnFailed(run.id);
    }
  }
  clock_.ScheduleAfter(outage.lasts, [this, outage] {
    for (std::size_t i = outage.first; i < outage.end; ++i) {
      engines_[i]->Recover(newest_, clock_.Now());
    }
  });
  OfferSlots();
}

bool RolloutSimulation::TryResume(const EngineRun& run) {
  if (random_.Fraction() >= settings_.resumed_runs) return false;
  for (const auto& engine : engines_) {
    if (!engine->HasFreeSlot()) continue;
    EngineRun resumed = run;
    // An incomplete token is generated again.
    resumed.generated_tokens =
        resumed.spans.empty() ? 0 : resumed.spans.back().end;
    PlaceRun(*engine, std::move(resumed));
    return true;
  }
  return false;
}

void RolloutSimulation::OfferSlots() {
  for (const auto& engine : engines_) OfferSlotsOf(*engine);
}

void RolloutSimulation::OfferSlotsOf(EngineModel& engine) {
  const std::size_t all = settings_.engines * settings_.slots_per_engine;
  const std::size_t slots = (all - settings_.live_reserve) / instances_.size();
  const std::size_t first = random_.Below(instances_.size());
  for (std::size_t k = 0; k < instances_.size(); ++k) {
    const std::size_t i = (first + k) % instances_.size();
    while (engine.HasFreeSlot()) {
      const auto run =
          instances_[i].scheduler->NextRun({slots, engine.name(), &engine});
      if (!run.has_value()) break;
      StartRun(engine, i, *run);
    }
  }
}

std::uint32_t RolloutSimulation::DrawLength() {
  const double spread = 0.5 + random_.Fraction();
  const auto length = static_cast<std::uint32_t>(
      spread * static_cast<double>(settings_.mean_tokens));
  const bool is_straggler = random_.Fraction() < settings_.straggler_share;
  return is_straggler ? length * settings_.straggler_factor : length;
}

void RolloutSimulation::StartRun(EngineModel& engine, std::size_t instance,
                                 const SampleRun& run) {
  EngineRun started;
  started.instance = instance;
  started.incarnation = instances_[instance].incarnation;
  started.id = run.id;
  started.length = std::max(1U, DrawLength());
  PlaceRun(engine, std::move(started));
}

void RolloutSimulation::PlaceRun(EngineModel& engine, EngineRun run) {
  SetTimer(engine, engine.Start(std::move(run), clock_.Now()));
}

void RolloutSimulation::SetTimer(EngineModel& engine, std::uint64_t key) {
  EngineRun& run = engine.runs().at(key);
  const std::uint64_t timer = ++run.timer;
  clock_.ScheduleAt(engine.EndOf(run), [this, &engine, key, timer] {
    EndRun(engine, key, timer);
  });
}

void RolloutSimulation::EndRun(EngineModel& engine, std::uint64_t key,
                               std::uint64_t timer) {
  const auto it = engine.runs().find(key);
  if (it == engine.runs().end() || it->second.timer != timer) return;
  engine.Advance(clock_.Now());
  const EngineRun run = it->second;
  engine.runs().erase(it);
  FinishedSample sample;
  sample.text = FormatSpans(run.spans);
  sample.tokens = run.length;
  sample.versions = run.spans;
  if (random_.Fraction() < settings_.unlabelled_runs &&
      sample.versions.back().end - sample.versions.back().begin >
          kOmittedTokens) {
    sample.versions.back().end -= kOmittedTokens;
  }
  if (OwnerOf(run)->OnFinished(run.id, std::move(sample))) group_complete_();
  OfferSlotsOf(engine);
}

}  // namespace briarspread::testing
