#include "bench/weights_bench/rollout_model.h"

#include <algorithm>
#include <ctime>
#include <set>
#include <utility>

namespace briarspread::bench {
namespace {

const ModelName kModel("rollout");
constexpr milliseconds kTick{50};
constexpr milliseconds kCallTime{5};
constexpr std::chrono::hours kLimit{2};
constexpr WeightVersion kOld(1);
constexpr WeightVersion kNew(2);

Duration SecondsOf(double n) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n));
}

double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

LeaseSettings MakeLease(milliseconds longest) {
  LeaseSettings lease;
  lease.key = "lease";
  lease.duration = 2 * longest + seconds(30);
  lease.renew_interval = lease.duration / 10;
  return lease;
}

WeightRolloutSettings MakeSettings(const FleetModel& fleet,
                                   milliseconds longest) {
  WeightRolloutSettings settings;
  settings.model = kModel;
  settings.plan.live_floor = fleet.live_floor;
  settings.plan.fan_out = fleet.fan_out;
  settings.max_order_duration = longest;
  settings.verify_interval = std::chrono::hours(1);
  return settings;
}

}  // namespace

RolloutModel::RolloutModel(const FleetModel& fleet)
    : fleet_(fleet),
      random_(fleet.seed),
      lease_(MakeLease(MaxOrderDuration()), InstanceId("entry-1"),
             Incarnation(1), store_, clock_, random_),
      rollout_(MakeSettings(fleet, MaxOrderDuration()), InstanceId("entry-1"),
               *this, random_) {
  rollout_.SetReplicas(MakeReplicas());
  for (const Replica& replica : MakeReplicas()) {
    loaded_[replica.id] = kOld;
    regions_[replica.id] = replica.locality.region;
  }
}

std::vector<Replica> RolloutModel::MakeReplicas() const {
  std::vector<Replica> replicas;
  for (std::size_t i = 0; i < fleet_.replicas; ++i) {
    const std::size_t zone = i % fleet_.zones;
    Replica replica;
    replica.id = UpstreamId("replica-" + std::to_string(100000 + i));
    replica.endpoint.host = replica.id.value();
    replica.locality = {
        RegionId("region-" + std::to_string(zone % fleet_.regions)),
        ZoneId("zone-" + std::to_string(zone))};
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

milliseconds RolloutModel::MaxOrderDuration() const {
  const std::uint64_t rate =
      std::min({fleet_.link_rate, fleet_.store_rate / fleet_.regions,
                fleet_.replica_rate / fleet_.fan_out});
  const std::uint64_t transfer_ms = 1000 * fleet_.version_bytes / rate;
  return milliseconds(transfer_ms) + fleet_.swap_time + seconds(10);
}

RolloutResult RolloutModel::Run() {
  RequestRollout(store_, kModel, kNew, OperationId("request"));
  lease_.Step();
  start_ = clock_.Now();
  const TimePoint end = start_ + kLimit;
  while (!rollout_.is_complete() && clock_.Now() < end) {
    Drive();
    TimePoint next = clock_.Now() + kTick;
    if (!events_.empty()) next = std::min(next, events_.begin()->first);
    clock_.Advance(std::max(Duration(0), next - clock_.Now()));
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
  }
  result_.complete = rollout_.is_complete();
  result_.seconds = ToSeconds(clock_.Now() - start_);
  result_.orders = rollout_.counts().orders;
  result_.store_calls = store_.calls();
  return result_;
}

void RolloutModel::Drive() {
  const std::clock_t before = std::clock();
  lease_.Step();
  const auto actions = rollout_.NextActions(clock_.Now(), lease_.View());
  result_.decision_seconds +=
      static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  for (const RolloutAction& action : actions) ExecuteAction(action);
  const WavePlanner& planner = rollout_.planner();
  if (std::none_of(actions.begin(), actions.end(), [](const auto& it) {
        return std::holds_alternative<LoadOrder>(it);
      })) {
    return;
  }
  for (std::size_t i = 0; i < fleet_.zones; ++i) {
    const ZoneId zone("zone-" + std::to_string(i));
    const std::size_t total = fleet_.replicas / fleet_.zones +
                              (i < fleet_.replicas % fleet_.zones ? 1 : 0);
    result_.min_serving_share = std::min(
        result_.min_serving_share, static_cast<double>(planner.Serving(zone)) /
                                       static_cast<double>(total));
  }
}

void RolloutModel::ExecuteAction(const RolloutAction& action) {
  if (std::holds_alternative<ReadRecord>(action)) {
    const auto read = store_.Get(RolloutKey(kModel));
    Schedule(kCallTime,
             [this, read] { rollout_.OnRecord(clock_.Now(), read); });
  } else if (const auto* save = std::get_if<SaveRecord>(&action)) {
    const auto saved =
        store_.CompareAndSwap(RolloutKey(kModel), save->value, save->expected);
    Schedule(kCallTime, [this, saved, id = save->operation] {
      rollout_.OnSaved(id, saved);
    });
  } else if (const auto* question = std::get_if<ReadVersion>(&action)) {
    Schedule(kCallTime, [this, id = question->id] {
      rollout_.OnVersion(clock_.Now(), id, loaded_[id]);
    });
  } else if (const auto* order = std::get_if<LoadOrder>(&action)) {
    ExecuteOrder(*order);
  }
}

void RolloutModel::ExecuteOrder(const LoadOrder& order) {
  const bool from_store = !order.source.has_value();
  // A sending replica divides its rate by the fan-out, even if it serves fewer
  // loads at once.
  const std::uint64_t rate = from_store ? order.bytes_per_second
                                        : fleet_.replica_rate / fleet_.fan_out;
  if (from_store) {
    result_.store_bytes += fleet_.version_bytes;
    if (regions_[order.id] != Region()) {
      result_.link_bytes += fleet_.version_bytes;
    }
  }
  const Duration transfer = SecondsOf(
      static_cast<double>(fleet_.version_bytes) / static_cast<double>(rate));
  Schedule(transfer + fleet_.swap_time + kCallTime, [this, order, from_store] {
    loaded_[order.id] = order.version;
    if (from_store) result_.pull_seconds = ToSeconds(clock_.Now() - start_);
    rollout_.OnOrder(clock_.Now(), order, OrderOutcome::kLoaded);
  });
}

void RolloutModel::Schedule(Duration delay, std::function<void()> run) {
  events_.emplace(clock_.Now() + delay, std::move(run));
}

}  // namespace briarspread::bench
