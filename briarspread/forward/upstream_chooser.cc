#include "briarspread/forward/upstream_chooser.h"

#include <algorithm>

#include "briarspread/routing/load_estimate.h"

namespace briarspread::forward {
namespace {

void Append(const std::vector<UpstreamId>& from, std::vector<UpstreamId>& to) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

std::optional<UpstreamId> UpstreamChooser::Choose(const ServiceName& service) {
  const std::vector<UpstreamId> without_permit = WithoutPermit(service);
  if (!without_permit.empty()) {
    // Limited upstreams still get requests, as far as their limits allow.
    const auto draw = context_.random.Next() % without_permit.size();
    context_.limiter.RequestPermit(without_permit[draw], RequestPurpose::kLive);
  }
  RouteRequest route_request;
  route_request.kind = InstanceKind::kPlainService;
  route_request.serves = service.value();
  route_request.software = software_;
  route_request.excluded = tried_;
  Append(without_permit, route_request.excluded);
  static const RuleSet no_rules;
  const RoutingTable& table = context_.directory.table();
  std::optional<std::size_t> index;
  if (prefers_idle_) {
    RouteRequest idle_only = route_request;
    Append(Busy(), idle_only.excluded);
    index = context_.router.Choose(idle_only, table, no_rules);
  }
  if (!index.has_value()) {
    index = context_.router.Choose(route_request, table, no_rules);
  }
  if (!index.has_value() && !tried_.empty() && is_idempotent_) {
    // All upstreams were tried, so the one tried longest ago is tried again: it
    // has had the most time to recover.
    route_request.excluded = TriedExceptOldest();
    Append(without_permit, route_request.excluded);
    index = context_.router.Choose(route_request, table, no_rules);
  }
  if (!index.has_value()) return std::nullopt;
  if (!StartsInTime(table.upstreams[*index]) &&
      context_.directory.CountSlowStarts() > 0) {
    route_request.ignores_slow_start = true;
    index = context_.router.Choose(route_request, table, no_rules);
  }
  if (!index.has_value() || !StartsInTime(table.upstreams[*index])) {
    return std::nullopt;
  }
  return UpstreamId(table.upstreams[*index].listed.name);
}

std::vector<UpstreamId> UpstreamChooser::Busy() const {
  std::vector<UpstreamId> busy;
  for (const auto& [id, upstream] : context_.directory.all()) {
    if (upstream.counters->in_flight.load() > 0 || upstream.load.running > 0) {
      busy.push_back(id);
    }
  }
  return busy;
}

bool UpstreamChooser::StartsInTime(const UpstreamView& upstream) const {
  const TimePoint now = context_.clock.Now();
  return LoadEstimate(upstream).ExpectedWait(now) <= deadline_ - now;
}

std::vector<UpstreamId> UpstreamChooser::TriedExceptOldest() const {
  std::vector<UpstreamId> recent;
  for (auto it = tried_.rbegin(); it != tried_.rend(); ++it) {
    if (std::find(recent.begin(), recent.end(), *it) == recent.end()) {
      recent.push_back(*it);
    }
  }
  recent.pop_back();
  return recent;
}

std::vector<UpstreamId> UpstreamChooser::WithoutPermit(
    const ServiceName& service) const {
  std::vector<UpstreamId> ids;
  if (!context_.limiter.has_limits()) return ids;
  for (const LimitNotice& limit : context_.limiter.limits().All()) {
    const UpstreamId& id = limit.start.id;
    const KnownUpstream* upstream = context_.directory.Find(id);
    const bool is_candidate =
        upstream != nullptr && upstream->listed.service == service &&
        !upstream->listed.is_leaving &&
        (software_.value().empty() || upstream->listed.software == software_);
    if (is_candidate &&
        !context_.limiter.HasPermit(id, RequestPurpose::kLive)) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool UpstreamChooser::RequestPermits(const std::vector<UpstreamId>& ids) {
  bool is_pending = false;
  for (const UpstreamId& id : ids) {
    context_.limiter.RequestPermit(id, RequestPurpose::kLive);
    is_pending |= context_.limiter.IsPermitPending(id, RequestPurpose::kLive);
  }
  return is_pending;
}

SlotAvailability UpstreamChooser::EstimateLimitedAvailability(
    const ServiceName& service) const {
  const auto ids = WithoutPermit(service);
  SlotAvailability availability;
  availability.interval = context_.limiter.MeanInterval(ids);
  availability.wait = Duration::max();
  for (const UpstreamId& id : ids) {
    availability.wait =
        std::min(availability.wait,
                 context_.limiter.TimeUntilRequest(id, RequestPurpose::kLive));
  }
  return ids.empty() ? SlotAvailability{} : availability;
}

}  // namespace briarspread::forward
