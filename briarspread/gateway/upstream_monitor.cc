#include "briarspread/gateway/upstream_monitor.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

std::optional<Json> ParseLoad(const ExchangeOutcome& outcome) {
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return std::nullopt;
  }
  Json json = Json::parse(outcome.body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  for (const auto& [name, value] : json.items()) {
    if (!value.is_number_unsigned()) return std::nullopt;
  }
  return json;
}

}  // namespace

UpstreamMonitor::UpstreamMonitor(const UpstreamMonitorSettings& settings,
                                 const GatewayContext& context,
                                 InstanceList& list, UpstreamClient& client,
                                 PoolGates& gates, OnListed on_listed)
    : settings_(settings),
      context_(context),
      list_(list),
      client_(client),
      gates_(gates),
      on_listed_(std::move(on_listed)),
      refusals_(RefusalTrackerSettings{}),
      breakers_(CircuitBreakerRegistrySettings{}) {}

UpstreamMonitor::~UpstreamMonitor() { Stop(); }

void UpstreamMonitor::Start() {
  thread_ = std::thread([this] { Run(); });
}

void UpstreamMonitor::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void UpstreamMonitor::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    Poll();
    lock.lock();
    stop_requested_.wait_for(lock, settings_.interval,
                             [this] { return stopping_; });
  }
}

InstanceShare UpstreamMonitor::ComputeShare() const {
  std::vector<std::string> entries;
  for (const ListedInstance& listed : listed_) {
    if (listed.kind == InstanceKind::kEntry) entries.push_back(listed.name);
  }
  std::sort(entries.begin(), entries.end());
  const auto it =
      std::find(entries.begin(), entries.end(), context_.self.value());
  InstanceShare share;
  share.count =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(entries.size()));
  if (it != entries.end()) {
    share.rank = static_cast<std::uint32_t>(it - entries.begin());
  }
  return share;
}

UpstreamView UpstreamMonitor::MakeView(const ListedInstance& listed,
                                       const InstanceShare& share) {
  auto& counters = counters_[listed.name];
  if (counters == nullptr) counters = std::make_shared<UpstreamCounters>();
  UpstreamView view;
  view.listed = listed;
  view.load = loads_[listed.name];
  view.counters = counters;
  view.share = share;
  view.breaker = breakers_.Find(UpstreamId(listed.name));
  return view;
}

void UpstreamMonitor::ReadLoad(UpstreamView& upstream) {
  UpstreamRequest request;
  request.endpoint = upstream.listed.endpoint;
  request.method = "GET";
  request.path = "/load";
  request.connect_timeout = settings_.load_timeout;
  request.timeout = settings_.load_timeout;
  HealthCheckResult read;
  read.started = context_.clock.Now();
  const std::uint32_t own = upstream.counters->in_flight.load();
  const std::uint32_t own_rollouts =
      upstream.counters->rollouts_in_flight.load();
  const auto json = ParseLoad(client_.Exchange(request, nullptr));
  read.accepts_work = json.has_value();
  refusals_.OnHealthCheck(UpstreamId(upstream.listed.name), *upstream.counters,
                          read, context_.clock.Now());
  if (!json.has_value()) return;
  upstream.load.running = json->value("running", 0U);
  upstream.load.queued = json->value("queued", 0U);
  upstream.load.slots = json->value("slots", 0U);
  upstream.load.version =
      WeightVersion(json->value("version", std::uint64_t{0}));
  upstream.load.received = context_.clock.Now();
  upstream.load.own_in_flight = own;
  upstream.load.own_rollouts = own_rollouts;
}

void UpstreamMonitor::Poll() {
  auto read = list_.Read();
  if (IsOk(read)) {
    listed_ = std::move(ValueOf(read));
    on_listed_(listed_);
  }
  breakers_.SetListed(listed_);
  const InstanceShare share = ComputeShare();
  context_.state.instances = share.count;
  std::vector<UpstreamView> views;
  for (const ListedInstance& listed : listed_) {
    if (listed.kind == InstanceKind::kEntry) continue;
    views.push_back(MakeView(listed, share));
  }
  asio::thread_pool readers(settings_.readers);
  for (UpstreamView& view : views) {
    asio::post(readers, [this, &view] { ReadLoad(view); });
  }
  readers.join();
  for (const UpstreamView& view : views) loads_[view.listed.name] = view.load;
  auto table = MakeRoutingTable(std::move(views), settings_.self, links_);
  // A copy, since publishing while holding a read guard would deadlock.
  const RuleSet rules = *context_.state.rules.Read();
  gates_.Update(*table, rules);
  context_.state.routing.Publish(std::move(table));
}

}  // namespace briarspread
