#include "briarspread/gateway/platform_poller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

}  // namespace

PlatformPoller::PlatformPoller(const PlatformPollerSettings& settings,
                               InstanceList& list, UpstreamClient& client,
                               ControlState& state, const Clock& clock,
                               ListObserver on_list)
    : settings_(settings),
      list_(list),
      client_(client),
      state_(state),
      clock_(clock),
      on_list_(std::move(on_list)) {}

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
    PollUpstreams();
    lock.lock();
    stop_requested_.wait_for(lock, settings_.interval,
                             [this] { return stopping_; });
  }
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
  if (IsOk(read)) {
    listed_ = std::move(ValueOf(read));
    on_list_(listed_);
  }
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
