#include "briarspread/gateway/platform_poller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/rules/rule_parser.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kRulesKey[] = "briarspread/rules";

}  // namespace

PlatformPoller::PlatformPoller(const PlatformPollerSettings& settings,
                               KeyValueStore& store, InstanceList& list,
                               UpstreamClient& client, ControlState& state,
                               const Clock& clock)
    : settings_(settings),
      store_(store),
      list_(list),
      client_(client),
      state_(state),
      clock_(clock) {}

PlatformPoller::~PlatformPoller() { Stop(); }

void PlatformPoller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void PlatformPoller::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void PlatformPoller::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    PollRules();
    PollUpstreams();
    lock.lock();
    stop_requested_.wait_for(lock, settings_.interval,
                             [this] { return stopping_; });
  }
}

void PlatformPoller::PollRules() {
  const auto read = store_.Get(kRulesKey);
  if (!IsOk(read) || !ValueOf(read).has_value()) return;
  const KeyValue& stored = *ValueOf(read);
  const Revision revision(stored.index.value());
  if (revision <= state_.rules.Read()->revision) return;
  auto parsed = ParseRules(stored.value);
  auto* rules = std::get_if<RuleSet>(&parsed);
  if (rules == nullptr) {
    LOG(ERROR) << "event=rules_refused revision=" << revision;
    return;
  }
  rules->revision = revision;
  state_.rules.Publish(std::make_unique<const RuleSet>(std::move(*rules)));
  state_.has_rules = true;
  LOG(INFO) << "event=rules_in_force revision=" << revision;
}

void PlatformPoller::PollLoad(UpstreamView& upstream) {
  UpstreamRequest request;
  request.endpoint = upstream.listed.endpoint;
  request.method = "GET";
  request.path = "/load";
  request.connect_timeout = settings_.load_timeout;
  request.timeout = settings_.load_timeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  const bool answered =
      outcome.stage == ExchangeStage::kEnded && outcome.status == 200;
  upstream.counters->refuses_work = !answered;
  if (!answered) return;
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (!json.is_object()) return;
  upstream.load.running = json.value("running", 0U);
  upstream.load.queued = json.value("queued", 0U);
  upstream.load.slots = json.value("slots", 0U);
  upstream.load.version =
      WeightVersion(json.value("version", std::uint64_t{0}));
  upstream.load.received = clock_.Now();
}

void PlatformPoller::PollUpstreams() {
  auto read = list_.Read();
  if (IsOk(read)) listed_ = std::move(ValueOf(read));
  auto table = std::make_unique<RoutingTable>();
  for (const ListedInstance& listed : listed_) {
    if (listed.kind == InstanceKind::kEntry) continue;
    auto& counters = counters_[listed.name];
    if (counters == nullptr) counters = std::make_shared<UpstreamCounters>();
    UpstreamView upstream{listed, {}, counters};
    PollLoad(upstream);
    table->upstreams.push_back(std::move(upstream));
  }
  state_.routing.Publish(std::move(table));
}

}  // namespace briarspread
