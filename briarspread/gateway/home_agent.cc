#include "briarspread/gateway/home_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/core/http_headers.h"
#include "briarspread/transport/http_server.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kSelfPath[] = "/peer/v1/self";
constexpr char kHomesPath[] = "/peer/v1/homes";
constexpr int kHttpOk = 200;
constexpr std::size_t kProbeThreads = 8;

HomeName NameOfHome(std::size_t number) {
  return HomeName("home-" + std::to_string(number));
}

Error UnsignedError() {
  return Error{ErrorCode::kUnauthenticated, Verdict::kNotRun,
               "the call is not signed by an instance"};
}

}  // namespace

HomeAgent::HomeAgent(const HomeAgentSettings& settings,
                     const GatewayContext& context, Incarnation incarnation,
                     KeyValueStore& store, UpstreamClient& client,
                     const PeerDirectory& peers)
    : settings_(settings),
      context_(context),
      self_{context.self, incarnation},
      client_(client),
      peers_(peers),
      standby_client_(peers, client, settings.peer_timeout),
      at_most_once_(settings.service, self_, store, standby_client_,
                    context.clock),
      started_(context.clock.Now()) {}

HomeAgent::~HomeAgent() { Stop(); }

void HomeAgent::Start() {
  threads_.emplace_back([this] {
    RunEvery(settings_.heartbeat_interval,
             [this] { at_most_once_.Heartbeat(); });
  });
  threads_.emplace_back([this] {
    RunEvery(settings_.log_interval, [this] { at_most_once_.WriteLogs(); });
  });
  threads_.emplace_back([this] {
    RunEvery(settings_.control_interval, [this] { RunControl(); });
  });
}

void HomeAgent::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

void HomeAgent::RunEvery(milliseconds interval,
                         const std::function<void()>& work) {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    work();
    lock.lock();
    stop_requested_.wait_for(lock, interval, [this] { return stopping_; });
  }
}

void HomeAgent::AddRoutes(httplib::Server& routes) {
  routes.Get(kSelfPath, [this](const auto&, auto& out) {
    RespondJson(out, kHttpOk,
                Json{{"instance", self_.instance.value()},
                     {"incarnation", self_.incarnation.value()},
                     {"leaving", context_.state.draining.load()}}
                    .dump());
  });
  routes.Get(kHomesPath, [this](const auto&, auto& out) {
    RespondJson(out, kHttpOk, ToJson(at_most_once_.table()));
  });
  routes.Post(kClaimBatchPath,
              [this](const auto& in, auto& out) { HandleBatch(in, out); });
}

void HomeAgent::HandleBatch(const httplib::Request& in,
                            httplib::Response& out) {
  const std::string signature = in.get_header_value(headers::kPeerSignature);
  if (!peers_.IsSigned(in.path, in.body, signature)) {
    RespondError(out, HttpStatusOf(UnsignedError().code), UnsignedError());
    return;
  }
  const auto batch = ParseClaimBatch(in.body);
  if (!IsOk(batch)) {
    RespondError(out, HttpStatusOf(ErrorOf(batch).code), ErrorOf(batch));
    return;
  }
  RespondJson(out, kHttpOk, ToJson(at_most_once_.OnClaimBatch(ValueOf(batch))));
}

std::optional<ProbeState> HomeAgent::StateOf(const InstanceId& instance) const {
  std::lock_guard lock(mutex_);
  const auto it = peer_statuses_.find(instance);
  if (it == peer_statuses_.end()) return std::nullopt;
  return it->second.probed.state;
}

std::size_t HomeAgent::OwnedHomes() const {
  const HomeTable table = at_most_once_.table();
  return static_cast<std::size_t>(
      std::count_if(table.homes.begin(), table.homes.end(),
                    [this](const Home& home) { return home.owner == self_; }));
}

ProbedInstance HomeAgent::Probe(const InstanceId& id,
                                const PeerAddress& address) const {
  UpstreamRequest request;
  request.endpoint = address.endpoint;
  request.method = "GET";
  request.path = kSelfPath;
  request.connect_timeout = settings_.peer_timeout;
  request.timeout = settings_.peer_timeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  ProbedInstance probed;
  probed.zone = address.zone;
  const bool is_unlisted =
      context_.clock.Now() - address.last_listed >= settings_.unlisted_after;
  probed.state = outcome.refused || is_unlisted ? ProbeState::kDead
                                                : ProbeState::kUnresponsive;
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return probed;
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  if (!json.is_object() || json.value("instance", "") != id.value()) {
    return probed;
  }
  probed.state = ProbeState::kAlive;
  probed.incarnation = Incarnation(json.value("incarnation", std::uint64_t{0}));
  probed.leaving = json.value("leaving", false);
  return probed;
}

void HomeAgent::RecordProbe(const InstanceId& id, ProbedInstance probed) {
  const TimePoint now = context_.clock.Now();
  std::lock_guard lock(mutex_);
  PeerStatus& peer = peer_statuses_[id];
  if (peer.last_answer == TimePoint{}) peer.last_answer = now;
  if (probed.state == ProbeState::kAlive) {
    peer.last_answer = now;
    peer.probed = std::move(probed);
    return;
  }
  // A single lost answer does not make an instance unresponsive.
  const bool is_unresponsive =
      now - peer.last_answer >= settings_.unresponsive_after;
  if (probed.state == ProbeState::kDead || is_unresponsive) {
    peer.probed.state = probed.state;
  }
  peer.probed.zone = probed.zone;
}

void HomeAgent::ProbePeers() {
  asio::thread_pool probers(kProbeThreads);
  for (const auto& [id, address] : peers_.All()) {
    asio::post(probers, [this, id = id, address = address] {
      RecordProbe(id, Probe(id, address));
    });
  }
  probers.join();
}

TakeoverView HomeAgent::MakeView() const {
  TakeoverView view;
  view.table = at_most_once_.table();
  view.self = self_;
  view.self_zone = settings_.zone;
  std::lock_guard lock(mutex_);
  for (const auto& [id, peer] : peer_statuses_) view.others[id] = peer.probed;
  return view;
}

void HomeAgent::CreateFirstTable() {
  const TakeoverView view = MakeView();
  std::vector<ProcessId> owners = {self_};
  for (const auto& [id, probed] : view.others) {
    if (probed.state == ProbeState::kAlive &&
        probed.incarnation != Incarnation(0)) {
      owners.push_back({id, probed.incarnation});
    }
  }
  // The instances of a new site start at about the same time; wait for the
  // others, so that the first table includes them.
  const Duration waited = context_.clock.Now() - started_;
  if (waited < settings_.first_table_wait) return;
  std::sort(owners.begin(), owners.end());
  const std::size_t n = std::min(settings_.max_homes,
                                 owners.size() * settings_.homes_per_instance);
  std::vector<Home> homes;
  for (std::size_t i = 0; i < n; ++i) {
    Home home;
    home.name = NameOfHome(i);
    home.owner = owners[i % owners.size()];
    std::vector<StandbyCandidate> candidates;
    for (const ProcessId& other : owners) {
      const auto it = view.others.find(other.instance);
      candidates.push_back({other.instance, it == view.others.end()
                                                ? settings_.zone
                                                : it->second.zone});
    }
    const auto owner = std::find_if(
        candidates.begin(), candidates.end(), [&](const auto& candidate) {
          return candidate.instance == home.owner.instance;
        });
    home.standby = ChooseStandby(home.name, *owner, candidates);
    homes.push_back(home);
  }
  const Status created = at_most_once_.CreateTable(homes);
  if (IsOk(created)) LOG(INFO) << "event=home_table_ready homes=" << n;
}

void HomeAgent::TakeOver(const PlannedTakeover& takeover) {
  Status taken = at_most_once_.TakeOver(takeover.home, takeover.is_standby_dead,
                                        takeover.next_standby);
  std::string way = "store";
  const bool is_store_out =
      !IsOk(taken) && ErrorOf(taken).code == ErrorCode::kUnavailable;
  if (is_store_out && at_most_once_.IsServing(takeover.home)) return;
  if (is_store_out && takeover.is_owner_dead) {
    taken = at_most_once_.TakeOverInMemory(takeover.home);
    way = "memory";
  }
  LOG(INFO) << "event=takeover home=" << takeover.home << " way=" << way
            << " done=" << IsOk(taken)
            << (IsOk(taken) ? ""
                            : " reason=\"" + ErrorOf(taken).message + "\"");
}

void HomeAgent::RunControl() {
  ProbePeers();
  at_most_once_.Refresh();
  if (at_most_once_.table().homes.empty()) {
    CreateFirstTable();
    return;
  }
  if (context_.state.draining.load()) return;
  for (const PlannedTakeover& takeover : PlanTakeovers(MakeView())) {
    TakeOver(takeover);
  }
}

}  // namespace briarspread
