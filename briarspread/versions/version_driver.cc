#include "briarspread/versions/version_driver.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread::versions {
namespace {

std::string_view ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlreadyLoaded:
      return "holds";
    case OrderOutcome::kBusy:
      return "busy";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

VersionDriver::VersionDriver(asio::io_context& loop, const Clock& clock,
                             OrderLease& order_lease,
                             forward::UpstreamDirectory& directory,
                             const forward::ConfigurationHolder& configuration,
                             EngineControl& control,
                             const VersionDriverSettings& settings)
    : clock_(clock),
      order_lease_(order_lease),
      directory_(directory),
      configuration_(configuration),
      control_(control),
      settings_(settings),
      planner_(settings.planner),
      timer_(loop) {}

void VersionDriver::Start() {
  timer_.Every(settings_.tick, [this] { Tick(); });
}

void VersionDriver::SetTarget(const ModelName& model, WeightVersion version) {
  WeightVersion& target = targets_[model];
  if (version <= target) return;
  target = version;
  LOG(INFO) << "event=version_named model=" << model << " version=" << version;
}

VersionDriver::EngineOrders& VersionDriver::OrdersOf(
    const forward::KnownUpstream& engine) {
  EngineOrders& orders = engines_[engine.listed.id];
  if (orders.start_id != engine.listed.start_id && !orders.is_call_in_flight) {
    orders = EngineOrders{};
    orders.start_id = engine.listed.start_id;
  }
  return orders;
}

LoadMode VersionDriver::LoadModeOf(const ServiceName& service) const {
  const auto& routes = configuration_.current()->routes;
  const bool wants_single = std::any_of(
      routes.begin(), routes.end(), [&](const forward::Route& route) {
        return route.wants_single_version &&
               std::any_of(route.backends.begin(), route.backends.end(),
                           [&](const forward::Backend& backend) {
                             return backend.service == service;
                           });
      });
  return wants_single ? LoadMode::kWaitForRunning : LoadMode::kKeepRunning;
}

void VersionDriver::Tick() {
  order_lease_.Step();
  if (!order_lease_.is_holder() || configuration_.current() == nullptr) return;
  std::erase_if(engines_, [this](const auto& entry) {
    return !entry.second.is_call_in_flight &&
           directory_.Find(entry.first) == nullptr;
  });
  for (const forward::Service& service : configuration_.current()->services) {
    std::vector<ModelTarget> targets;
    for (const ModelName& model : service.models) {
      const auto it = targets_.find(model);
      ModelTarget target{model,
                         it == targets_.end() ? WeightVersion(1) : it->second};
      if (items_at_once_) target.items = items_at_once_(model);
      targets.push_back(std::move(target));
    }
    if (!targets.empty()) {
      PlanService(service.name, targets, LoadModeOf(service.name));
    }
  }
}

void VersionDriver::PlanService(const ServiceName& service,
                                const std::vector<ModelTarget>& targets,
                                LoadMode mode) {
  const TimePoint now = clock_.Now();
  std::vector<EngineState> engines;
  for (const auto& [id, engine] : directory_.all()) {
    if (engine.listed.service != service || engine.listed.models.empty()) {
      continue;
    }
    EngineOrders& orders = OrdersOf(engine);
    CheckAwaitedOrder(id, orders, now);
    EngineState state;
    state.id = id;
    state.loaded = engine.listed.models;
    state.is_blocked = orders.awaited.has_value() || orders.is_call_in_flight ||
                       now < orders.blocked_until;
    if (orders.awaited.has_value()) state.loading = orders.awaited->model;
    state.is_open = !engine.listed.is_leaving;
    state.slots = engine.listed.slots;
    state.is_failing = !engine.breaker->Allows(now);
    engines.push_back(std::move(state));
  }
  const auto next = planner_.Next(targets, engines);
  if (next.empty() || !order_lease_.MaySend()) return;
  for (const VersionOrder& order : next) IssueOrder(order, mode);
}

void VersionDriver::CheckAwaitedOrder(const UpstreamId& id,
                                      EngineOrders& orders, TimePoint now) {
  if (!orders.awaited.has_value()) return;
  const forward::KnownUpstream* engine = directory_.Find(id);
  const VersionOrder& awaited = *orders.awaited;
  if (engine != nullptr &&
      engine->VersionOf(awaited.model) >= awaited.version) {
    LOG(INFO) << "event=version_loaded upstream=" << id
              << " model=" << awaited.model << " version=" << awaited.version;
    orders.awaited.reset();
    return;
  }
  if (now - orders.sent > settings_.order_timeout) {
    LOG(WARNING) << "event=order_without_effect upstream=" << id
                 << " model=" << awaited.model;
    orders.awaited.reset();
    orders.accepted_orders.reset();
    return;
  }
  if (now < orders.next_check || orders.is_call_in_flight) return;
  if (!control_.TryAdmit(id)) return;
  orders.next_check = now + settings_.check_interval;
  ReadReport(id, [] {});
}

void VersionDriver::ReadReport(const UpstreamId& id,
                               std::function<void()> then) {
  engines_[id].is_call_in_flight = true;
  control_.ReadReport(id, [this, id, then = std::move(then)](
                              const Result<EngineReport>& report) {
    const auto it = engines_.find(id);
    if (it == engines_.end()) return;
    it->second.is_call_in_flight = false;
    if (!IsOk(report)) {
      it->second.blocked_until = clock_.Now() + settings_.retry_delay;
      return;
    }
    it->second.accepted_orders = ValueOf(report).orders;
    for (const forward::LoadedModel& model : ValueOf(report).loaded) {
      directory_.UpdateVersion(id, model.name, model.version);
    }
    then();
  });
}

void VersionDriver::IssueOrder(const VersionOrder& order, LoadMode mode) {
  if (!control_.TryAdmit(order.engine)) return;
  EngineOrders& orders = engines_[order.engine];
  if (orders.accepted_orders.has_value()) {
    Send(order, mode);
    return;
  }
  // The order must carry the number of accepted orders, which guards against
  // orders that are executed late.
  ReadReport(order.engine, [this, order, mode] {
    const forward::KnownUpstream* engine = directory_.Find(order.engine);
    if (engine == nullptr || !order_lease_.MaySend()) return;
    if (engine->VersionOf(order.model) >= order.version) return;
    // If the order is not admitted now, the next tick plans it again.
    if (control_.TryAdmit(order.engine)) Send(order, mode);
  });
}

void VersionDriver::Send(const VersionOrder& order, LoadMode mode) {
  EngineOrders& orders = engines_[order.engine];
  const TimePoint now = clock_.Now();
  orders.awaited = order;
  orders.sent = now;
  orders.next_check = now + settings_.first_check;
  orders.is_call_in_flight = true;
  ++orders_sent_;
  order_lease_.RecordOrderSent();
  SentOrder sent{order, mode, order_lease_.fencing(), orders.accepted_orders};
  control_.Send(
      sent, [this, order](OrderOutcome outcome) { OnOutcome(order, outcome); });
}

void VersionDriver::OnOutcome(const VersionOrder& order, OrderOutcome outcome) {
  const auto it = engines_.find(order.engine);
  if (it == engines_.end()) return;
  EngineOrders& orders = it->second;
  orders.is_call_in_flight = false;
  LOG(INFO) << "event=order upstream=" << order.engine
            << " model=" << order.model << " version=" << order.version
            << " outcome=" << ToString(outcome);
  switch (outcome) {
    case OrderOutcome::kAccepted:
      if (orders.accepted_orders.has_value()) ++*orders.accepted_orders;
      return;
    case OrderOutcome::kAlreadyLoaded:
      directory_.UpdateVersion(order.engine, order.model, order.version);
      return;
    case OrderOutcome::kUnknown:
      // Awaited as if accepted; the engine's report shows whether it was.
      orders.accepted_orders.reset();
      return;
    case OrderOutcome::kFenced:
      order_lease_.Reconfirm();
      [[fallthrough]];
    case OrderOutcome::kBusy:
    case OrderOutcome::kRefused:
      orders.accepted_orders.reset();
      orders.awaited.reset();
      orders.blocked_until = clock_.Now() + settings_.retry_delay;
      return;
  }
}

}  // namespace briarspread::versions
