#include "briarspread/gateway/rules_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

#include "briarspread/gateway/peer_seal.h"

namespace briarspread {
namespace {

constexpr int kHttpOk = 200;
/// Maximum time that a thread waits between two steps.
constexpr milliseconds kMaxWait{1000};

Revision ReadAbove(const httplib::Request& in) {
  const std::string text = in.get_param_value("above");
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return Revision(n);
}

}  // namespace

RulesAgent::RulesAgent(const RulesAgentSettings& settings, KeyValueStore& store,
                       UpstreamClient& client, ControlState& state,
                       const Clock& clock, RandomSource& random)
    : settings_(settings),
      state_(state),
      store_(RuleStoreSettings{}, store, clock),
      peers_(settings.peers, client),
      distributor_(settings.distributor, *this, clock, random),
      sync_(distributor_, store_, peers_) {}

RulesAgent::~RulesAgent() { Stop(); }

void RulesAgent::AddRoutes(httplib::Server& routes) {
  routes.Get(kPeerRulesPath, [this](const httplib::Request& in,
                                    httplib::Response& out) {
    const std::string body = FormatOffer(distributor_.InForce(), ReadAbove(in));
    if (!settings_.peers.peer_key.empty()) {
      out.set_header(kSealHeader, SealOf(settings_.peers.peer_key, body));
    }
    RespondJson(out, kHttpOk, body);
  });
}

void RulesAgent::Start() {
  store_thread_ = std::thread([this] { RunStore(); });
  peer_thread_ = std::thread([this] { RunPeers(); });
}

void RulesAgent::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (store_thread_.joinable()) store_thread_.join();
  if (peer_thread_.joinable()) peer_thread_.join();
}

void RulesAgent::RunStore() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const milliseconds wait = StepStore();
    lock.lock();
    wake_.wait_for(lock, std::min(wait, kMaxWait),
                   [this] { return stopping_; });
  }
}

void RulesAgent::RunPeers() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    announced_ = false;
    lock.unlock();
    const milliseconds wait = StepPeers();
    lock.lock();
    wake_.wait_for(lock, std::min(wait, kMaxWait),
                   [this] { return stopping_ || announced_; });
  }
}

void RulesAgent::OnInstances(const std::vector<ListedInstance>& instances) {
  std::vector<RuleMember> members;
  for (const ListedInstance& listed : instances) {
    if (listed.kind != InstanceKind::kEntry) continue;
    members.push_back({InstanceId(listed.name), listed.locality.zone});
  }
  peers_.SetInstances(instances);
  distributor_.OnMembers(std::move(members));
}

void RulesAgent::OnAnnouncement(const InstanceId& peer, Revision revision) {
  if (!distributor_.OnAnnouncement(peer, revision)) return;
  {
    std::lock_guard lock(mutex_);
    announced_ = true;
  }
  wake_.notify_all();
}

void RulesAgent::Publish(RuleSet rules) {
  const Revision revision = rules.revision;
  state_.rules.Publish(std::make_unique<const RuleSet>(std::move(rules)));
  state_.has_rules = true;
  if (announcer_) announcer_(revision);
  LOG(INFO) << "event=rules_in_force revision=" << revision;
}

}  // namespace briarspread
