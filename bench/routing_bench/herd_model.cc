#include "bench/routing_bench/herd_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace briarspread::bench {
namespace {

/// Time between samples of the imbalance, in seconds.
constexpr double kSamplePeriodSeconds = 0.1;
constexpr double kWarmUpFraction = 0.2;

}  // namespace

HerdModel::HerdModel(std::uint64_t seed, const HerdSettings& settings,
                     const RouterFactory& make_router)
    : settings_(settings),
      size_{settings.instances, settings.replicas, 1, 1, 1},
      traffic_random_(seed),
      router_random_(seed + 1),
      replicas_(MakeReplicas(size_)),
      engines_(replicas_.size()) {
  request_.serves = ModelName(0);
  const auto planned = MakeInstances(size_);
  const SubsetPlan plan(SubsetPlanSettings{}, planned);
  instances_.resize(planned.size());
  const auto users = plan.InstancesOfEach(replicas_);
  for (std::size_t i = 0; i < users.size(); ++i) {
    const auto count = static_cast<std::uint32_t>(users[i].size());
    for (std::uint32_t rank = 0; rank < count; ++rank) {
      instances_[users[i][rank]].tracked.push_back({i, {rank, count}});
    }
  }
  for (std::size_t i = 0; i < planned.size(); ++i) {
    Instance& instance = instances_[i];
    for (std::size_t n = 0; n < instance.tracked.size(); ++n) {
      instance.counters.push_back(std::make_shared<UpstreamCounters>());
    }
    instance.router = make_router(static_cast<int>(i), router_random_, clock_);
    ReadLoadReports(i);
  }
}

double HerdModel::Exponential(double mean) {
  return -mean * std::log(1.0 - traffic_random_.Fraction());
}

void HerdModel::SetTime(double at) {
  now_ = at;
  const auto ns = static_cast<std::int64_t>(at * 1e9);
  clock_.Set(TimePoint(std::chrono::hours(1)) + Duration(ns));
}

HerdResult HerdModel::Run() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const double at = settings_.report_period_s * traffic_random_.Fraction();
    events_.push({at, EventKind::kReport, i});
  }
  events_.push({0, EventKind::kArrival});
  events_.push({kSamplePeriodSeconds, EventKind::kSample});
  while (!events_.empty() && events_.top().at < settings_.duration_s) {
    const Event event = events_.top();
    events_.pop();
    SetTime(event.at);
    switch (event.kind) {
      case EventKind::kArrival:
        HandleArrival();
        break;
      case EventKind::kEnd:
        HandleEnd(event);
        break;
      case EventKind::kReport:
        ReadLoadReports(event.target);
        events_.push({now_ + settings_.report_period_s, EventKind::kReport,
                      event.target});
        break;
      case EventKind::kSample:
        SampleImbalance();
        break;
    }
  }
  return Summarize();
}

void HerdModel::HandleArrival() {
  const double slots = static_cast<double>(engines_.size()) * settings_.slots;
  const double rate = settings_.load * slots / settings_.service_s;
  events_.push({now_ + Exponential(1.0 / rate), EventKind::kArrival});
  const std::size_t from = traffic_random_.Below(instances_.size());
  Instance& instance = instances_[from];
  const auto chosen =
      instance.router->Choose(request_, *instance.table, rules_);
  if (!chosen.has_value()) return;
  // `MakeRoutingTable` sorts the upstreams, so the upstream is identified by
  // its counters, which the table shares with `instance.counters`.
  const auto& counters = instance.table->upstreams[*chosen].counters;
  const auto it =
      std::find(instance.counters.begin(), instance.counters.end(), counters);
  const auto tracked = static_cast<std::size_t>(it - instance.counters.begin());
  ++counters->in_flight;
  Send(instance.tracked[tracked].index, {now_, from, tracked});
}

void HerdModel::Send(std::size_t engine, const Request& request) {
  if (engines_[engine].running < settings_.slots) {
    Start(engine, request);
  } else {
    engines_[engine].waiting.push_back(request);
  }
  RecordLoad(engine);
}

void HerdModel::Start(std::size_t engine, const Request& request) {
  ++engines_[engine].running;
  const double end = now_ + Exponential(settings_.service_s);
  events_.push(
      {end, EventKind::kEnd, engine, request.instance, request.tracked});
  if (now_ >= kWarmUpFraction * settings_.duration_s) {
    waits_s_.push_back(now_ - request.arrived);
  }
}

void HerdModel::HandleEnd(const Event& event) {
  Engine& engine = engines_[event.target];
  --engine.running;
  --instances_[event.instance].counters[event.tracked]->in_flight;
  if (!engine.waiting.empty()) {
    const Request next = engine.waiting.front();
    engine.waiting.pop_front();
    Start(event.target, next);
  }
  RecordLoad(event.target);
}

void HerdModel::RecordLoad(std::size_t engine) {
  Engine& changed = engines_[engine];
  const auto load = static_cast<std::uint32_t>(
      static_cast<std::size_t>(changed.running) + changed.waiting.size());
  changed.history.emplace_back(now_, load);
  // Keeps the last entry that is as old as a report, because it gives the load
  // at that time.
  const double oldest = now_ - settings_.report_age_s;
  while (changed.history.size() > 1 && changed.history[1].first <= oldest) {
    changed.history.pop_front();
  }
}

std::uint32_t HerdModel::LoadAt(const Engine& engine, double at) const {
  std::uint32_t load = 0;
  for (const auto& [time, value] : engine.history) {
    if (time > at) break;
    load = value;
  }
  return load;
}

void HerdModel::ReadLoadReports(std::size_t index) {
  Instance& instance = instances_[index];
  const auto slots = static_cast<std::uint32_t>(settings_.slots);
  std::vector<UpstreamView> views;
  views.reserve(instance.tracked.size());
  for (std::size_t i = 0; i < instance.tracked.size(); ++i) {
    const TrackedUpstream& tracked = instance.tracked[i];
    const std::uint32_t load =
        LoadAt(engines_[tracked.index], now_ - settings_.report_age_s);
    UpstreamView view;
    view.listed = replicas_[tracked.index];
    view.counters = instance.counters[i];
    view.share = tracked.share;
    view.load.slots = slots;
    view.load.running = std::min(load, slots);
    view.load.queued = load - view.load.running;
    view.load.own_in_flight = view.counters->in_flight.load();
    views.push_back(std::move(view));
  }
  instance.table =
      MakeRoutingTable(std::move(views), LocalityOf(0, size_), links_);
}

void HerdModel::SampleImbalance() {
  events_.push({now_ + kSamplePeriodSeconds, EventKind::kSample});
  if (now_ < kWarmUpFraction * settings_.duration_s) return;
  double total = 0;
  double most = 0;
  for (const Engine& engine : engines_) {
    const double load =
        engine.running + static_cast<double>(engine.waiting.size());
    total += load;
    most = std::max(most, load);
  }
  const double mean = total / static_cast<double>(engines_.size());
  if (mean > 0) imbalances_.push_back(most / mean);
}

HerdResult HerdModel::Summarize() {
  constexpr double kMilli = 1000;
  HerdResult result;
  result.requests = waits_s_.size();
  if (waits_s_.empty() || imbalances_.empty()) return result;
  std::sort(waits_s_.begin(), waits_s_.end());
  const auto last = static_cast<double>(waits_s_.size() - 1);
  const auto wait_at = [&](double fraction) {
    return kMilli * waits_s_[static_cast<std::size_t>(fraction * last)];
  };
  result.mean_wait_ms = kMilli *
                        std::accumulate(waits_s_.begin(), waits_s_.end(), 0.0) /
                        static_cast<double>(waits_s_.size());
  result.p50_wait_ms = wait_at(0.5);
  result.p99_wait_ms = wait_at(0.99);
  result.max_wait_ms = kMilli * waits_s_.back();
  result.max_imbalance =
      *std::max_element(imbalances_.begin(), imbalances_.end());
  result.mean_imbalance =
      std::accumulate(imbalances_.begin(), imbalances_.end(), 0.0) /
      static_cast<double>(imbalances_.size());
  return result;
}

}  // namespace briarspread::bench
