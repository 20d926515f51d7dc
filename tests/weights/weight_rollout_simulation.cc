#include "tests/weights/weight_rollout_simulation.h"

#include <algorithm>
#include <utility>

namespace briarspread::testing {
namespace {

constexpr milliseconds kStep{100};
constexpr milliseconds kMaxSendDelay{200};
constexpr milliseconds kMaxLoadTime{9500};
/// A pull at 200 bytes per second takes 5 s.
constexpr std::uint64_t kVersionBytes = 1000;
const ModelName kModel("rollout");

}  // namespace

WeightRolloutSimulation::WeightRolloutSimulation(
    const SimulationOptions& options)
    : options_(options), random_(options.seed) {
  std::vector<Replica> replicas;
  for (std::size_t r = 0; r < options_.regions; ++r) {
    for (std::size_t i = 0; i < options_.replicas_per_region; ++i) {
      const std::string region = "r" + std::to_string(r);
      Engine engine;
      engine.replica.id = UpstreamId(region + "-" + std::to_string(i));
      engine.replica.endpoint.host = engine.replica.id.value();
      engine.replica.locality = {RegionId(region),
                                 ZoneId(region + (i % 2 == 0 ? "a" : "b"))};
      engine.replica.checks_fencing = options_.engines_check_fencing;
      engine.failures_left = options_.failed_swaps;
      replicas.push_back(engine.replica);
      engines_[engine.replica.id] = engine;
    }
  }
  WeightRolloutSettings settings;
  settings.model = kModel;
  settings.max_order_duration = options_.max_order_duration;
  LeaseSettings lease;
  lease.key = "lease";
  for (std::size_t i = 0; i < options_.drivers; ++i) {
    const InstanceId self("entry-" + std::to_string(i));
    Driver driver;
    driver.lease = std::make_unique<Lease>(lease, self, Incarnation(1), store,
                                           clock, random_);
    driver.rollout =
        std::make_unique<WeightRollout>(settings, self, store_info_, random_);
    driver.rollout->SetReplicas(replicas);
    drivers_.push_back(std::move(driver));
  }
}

bool WeightRolloutSimulation::IsRunning(const Driver& driver) const {
  return !driver.is_killed && clock.Now() >= driver.paused_until;
}

void WeightRolloutSimulation::Run(Duration span) {
  const TimePoint end = clock.Now() + span;
  while (clock.Now() < end) Step();
}

void WeightRolloutSimulation::Step() {
  while (!events_.empty() && events_.begin()->first <= clock.Now()) {
    const auto run = events_.begin()->second;
    events_.erase(events_.begin());
    run();
  }
  for (std::size_t i = 0; i < drivers_.size(); ++i) Drive(i);
  CheckFloor();
  clock.Advance(kStep);
}

bool WeightRolloutSimulation::RunUntilLoaded(WeightVersion version,
                                             Duration limit) {
  const TimePoint end = clock.Now() + limit;
  while (clock.Now() < end) {
    Step();
    const bool loaded = std::all_of(
        engines_.begin(), engines_.end(),
        [&](const auto& it) { return it.second.version == version.value(); });
    const std::size_t holder = Holder();
    if (loaded && holder < drivers_.size() &&
        drivers_[holder].rollout->is_complete()) {
      return true;
    }
  }
  return false;
}

void WeightRolloutSimulation::Pause(std::size_t driver, Duration span) {
  drivers_[driver].paused_until = clock.Now() + span;
}

void WeightRolloutSimulation::Kill(std::size_t driver) {
  drivers_[driver].is_killed = true;
}

std::size_t WeightRolloutSimulation::Holder() const {
  for (std::size_t i = 0; i < drivers_.size(); ++i) {
    if (!drivers_[i].is_killed && drivers_[i].lease->View().is_held) return i;
  }
  return drivers_.size();
}

void WeightRolloutSimulation::Request(std::uint64_t version) {
  RequestRollout(store, kModel, WeightVersion(version),
                 OperationId("request-" + std::to_string(version)));
}

void WeightRolloutSimulation::Drive(std::size_t index) {
  Driver& driver = drivers_[index];
  if (!IsRunning(driver)) return;
  for (auto& run : std::exchange(driver.inbox, {})) run();
  // Sending an order may have paused the driver.
  if (!IsRunning(driver)) return;
  driver.lease->Step();
  const auto actions =
      driver.rollout->NextActions(clock.Now(), driver.lease->View());
  for (const RolloutAction& action : actions) {
    if (on_action) on_action(index, action);
    if (driver.is_killed) return;
    ExecuteAction(index, action);
  }
}

void WeightRolloutSimulation::ExecuteAction(std::size_t index,
                                            const RolloutAction& action) {
  if (std::holds_alternative<ReadRecord>(action)) {
    const auto read = store.Get(RolloutKey(kModel));
    PostToDriver(index, kStep, [this, read](Driver& driver) {
      driver.rollout->OnRecord(clock.Now(), read);
    });
  } else if (const auto* save = std::get_if<SaveRecord>(&action)) {
    const auto saved =
        store.CompareAndSwap(RolloutKey(kModel), save->value, save->expected);
    PostToDriver(index, kStep, [saved, id = save->operation](Driver& driver) {
      driver.rollout->OnSaved(id, saved);
    });
  } else if (const auto* ask = std::get_if<ReadVersion>(&action)) {
    const Result<WeightVersion> version =
        WeightVersion(engines_[ask->id].version);
    PostToDriver(index, kStep, [this, version, id = ask->id](Driver& driver) {
      driver.rollout->OnVersion(clock.Now(), id, version);
    });
  } else if (const auto* order = std::get_if<LoadOrder>(&action)) {
    PostToDriver(
        index, RandomDuration(kMaxSendDelay),
        [this, index, sent = *order](Driver&) { SendOrder(index, sent); });
  }
}

void WeightRolloutSimulation::SendOrder(std::size_t index,
                                        const LoadOrder& order) {
  if (clock.Now() >= order.send_before) {
    drivers_[index].rollout->OnOrder(clock.Now(), order,
                                     OrderOutcome::kNotSent);
    return;
  }
  if (on_order_sent) on_order_sent(index);
  Schedule(RandomDuration(kMaxSendDelay),
           [this, index, order] { ReceiveOrder(index, order); });
}

void WeightRolloutSimulation::ReceiveOrder(std::size_t index,
                                           const LoadOrder& order) {
  Engine& engine = engines_[order.id];
  const bool is_outdated = order.fencing < engine.fencing;
  if ((engine.replica.checks_fencing && is_outdated) ||
      engine.failures_left > 0) {
    if (!is_outdated) --engine.failures_left;
    PostToDriver(index, kStep, [this, order](Driver& driver) {
      driver.rollout->OnOrder(clock.Now(), order, OrderOutcome::kFailed);
    });
    return;
  }
  engine.fencing = std::max(engine.fencing, order.fencing);
  ++engine.loading;
  ++accepted_orders;
  CheckOverlap(engine, order);
  Duration time = RandomDuration(kMaxLoadTime);
  if (order.bytes_per_second > 0) {
    const RegionId region = engine.replica.locality.region;
    time = milliseconds(1000 * kVersionBytes / order.bytes_per_second);
    pulled_bytes[region] += kVersionBytes;
    pull_rates_[region] += order.bytes_per_second;
    std::uint64_t total = 0;
    for (const auto& [id, rate] : pull_rates_) {
      total += rate;
      if (id != store_info_.Region() &&
          rate > store_info_.LinkBytesPerSecond(id)) {
        ++exceeded_limits;
      }
    }
    if (total > store_info_.StoreBytesPerSecond()) ++exceeded_limits;
  }
  Schedule(time, [this, index, order] { FinishOrder(index, order); });
}

void WeightRolloutSimulation::FinishOrder(std::size_t index,
                                          const LoadOrder& order) {
  Engine& engine = engines_[order.id];
  --engine.loading;
  pull_rates_[engine.replica.locality.region] -= order.bytes_per_second;
  engine.version = order.version.value();
  CheckOverlap(engine, order);
  PostToDriver(index, kStep, [this, order](Driver& driver) {
    driver.rollout->OnOrder(clock.Now(), order, OrderOutcome::kLoaded);
  });
}

void WeightRolloutSimulation::CheckOverlap(const Engine& engine,
                                           const LoadOrder& order) {
  if (engine.replica.checks_fencing) return;
  for (const Driver& driver : drivers_) {
    const LeaseView view = driver.lease->View();
    if (!driver.is_killed && view.is_held && view.fencing > order.fencing) {
      ++overlapping_orders;
    }
  }
}

void WeightRolloutSimulation::CheckFloor() {
  std::map<ZoneId, int> total;
  std::map<ZoneId, int> loading;
  for (const auto& [id, engine] : engines_) {
    ++total[engine.replica.locality.zone];
    if (engine.loading > 0) ++loading[engine.replica.locality.zone];
  }
  for (const auto& [zone, n] : total) {
    if (2 * (n - loading[zone]) < n) ++floor_violations;
  }
}

void WeightRolloutSimulation::Schedule(Duration delay,
                                       std::function<void()> run) {
  events_.emplace(clock.Now() + delay, std::move(run));
}

void WeightRolloutSimulation::PostToDriver(std::size_t index, Duration delay,
                                           std::function<void(Driver&)> run) {
  Schedule(delay, [this, index, run = std::move(run)] {
    Driver& driver = drivers_[index];
    if (driver.is_killed) return;
    driver.inbox.emplace_back([&driver, run] { run(driver); });
  });
}

Duration WeightRolloutSimulation::RandomDuration(milliseconds below) {
  return milliseconds(random_.Below(static_cast<std::uint64_t>(below.count())) +
                      1);
}

}  // namespace briarspread::testing
