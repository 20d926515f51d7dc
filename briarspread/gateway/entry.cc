#include "briarspread/gateway/entry.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <random>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// Time for which the load balancer may still send requests after this instance
/// reports not ready.
constexpr milliseconds kBalancerLag{1000};
constexpr milliseconds kDrainCheck{20};

HttpServerSettings ServerSettings(const EntrySettings& settings) {
  HttpServerSettings server;
  server.listen = settings.listen;
  server.threads = settings.http_threads;
  server.max_body_bytes = settings.max_body_bytes;
  server.read_timeout = settings.read_timeout;
  return server;
}

ConsulSettings PlatformSettings(const EntrySettings& settings) {
  ConsulSettings platform;
  platform.endpoint = settings.platform;
  return platform;
}

UpstreamMonitorSettings MonitorSettings(const EntrySettings& settings) {
  UpstreamMonitorSettings monitor;
  monitor.self = settings.locality;
  monitor.interval = settings.poll_interval;
  return monitor;
}

RulesAgentSettings RulesSettings(const EntrySettings& settings) {
  RulesAgentSettings rules;
  rules.distributor.self = settings.instance;
  rules.distributor.zone = settings.locality.zone;
  if (settings.peer_authentication) rules.peers.peer_key = settings.peer_key;
  return rules;
}

/// Returns an incarnation from the wall clock, so that it increases with each
/// start of the process.
Incarnation MakeIncarnation(const Clock& clock) {
  return Incarnation(
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                     clock.WallNow().time_since_epoch())
                                     .count()));
}

/// Returns the key that signs calls between instances; empty if peer
/// authentication is off.
std::string PeerKey(const EntrySettings& settings) {
  return settings.peer_authentication ? settings.peer_key : "";
}

HomeAgentSettings HomesSettings(const EntrySettings& settings) {
  HomeAgentSettings homes;
  homes.zone = settings.locality.zone;
  return homes;
}

MembershipAgentSettings MembershipSettings(const EntrySettings& settings) {
  MembershipAgentSettings membership;
  membership.listen = settings.listen;
  membership.node.interval = settings.heartbeat_interval;
  membership.node.peer_key = PeerKey(settings);
  return membership;
}

MemberRecord MemberSelf(const EntrySettings& settings,
                        Incarnation incarnation) {
  MemberRecord self;
  self.id = settings.instance;
  self.endpoint = settings.listen;
  self.locality = settings.locality;
  self.version.incarnation = incarnation;
  return self;
}

WeightsAgentSettings WeightsSettings(const EntrySettings& settings) {
  WeightsAgentSettings weights;
  weights.store_region = settings.store_region;
  return weights;
}

}  // namespace

Entry::Entry(const EntrySettings& settings)
    : settings_(settings),
      incarnation_(MakeIncarnation(clock_)),
      random_(std::random_device{}()),
      tracer_(settings.instance.value(), clock_, random_),
      context_{settings.instance, state_, clock_, random_, metrics_, tracer_},
      store_(PlatformSettings(settings), client_),
      list_(PlatformSettings(settings), client_),
      peers_(settings.instance, PeerKey(settings), clock_),
      router_(TwoChoicesSettings{}, random_, clock_),
      gates_(clock_),
      rules_(RulesSettings(settings), store_, client_, state_, clock_, random_),
      report_forwarder_(rules_),
      membership_(MembershipSettings(settings),
                  MemberSelf(settings, incarnation_), clock_, random_,
                  &report_forwarder_),
      homes_(HomesSettings(settings), context_, incarnation_, store_, client_,
             peers_),
      monitor_(MonitorSettings(settings), context_, list_, client_, gates_,
               [this](const auto& listed) { OnList(listed); }),
      caller_(context_, router_, client_, gates_, monitor_.refusals()),
      keyed_(context_, caller_, homes_, peers_, client_),
      live_(context_, caller_, keyed_, peers_),
      trainers_(TrainerHandlerSettings{}, settings.peer_key, state_, caller_,
                clock_),
      fencing_(state_),
      orders_(settings.instance, client_, clock_),
      weights_(WeightsSettings(settings), settings.instance, incarnation_,
               store_, orders_, fencing_, state_, clock_, random_),
      server_(ServerSettings(settings)) {}

void Entry::OnList(const std::vector<ListedInstance>& listed) {
  rules_.OnInstances(listed);
  peers_.OnList(listed);
  membership_.ApplyList(listed);
  membership_.SetRulesRevision(state_.rules.Read()->revision);
  membership_.SetEpoch(homes_.at_most_once().table().epoch);
}

void Entry::AddOperatorRoutes() {
  httplib::Server& routes = server_.routes();
  routes.Get("/healthz",
             [](const auto&, auto& out) { RespondJson(out, 200, "{}"); });
  routes.Get("/readyz", [this](const auto&, auto& out) {
    const bool ready = state_.has_rules.load() && !state_.draining.load();
    RespondJson(out, ready ? 200 : 503, Json{{"ready", ready}}.dump());
  });
  routes.Get("/metrics", [this](const auto&, auto& out) {
    out.set_content(metrics_.ToPrometheus(), "text/plain; version=0.0.4");
  });
  routes.Get("/v1/status", [this](const auto&, auto& out) {
    RespondJson(out, 200,
                Json{{"instance", settings_.instance.value()},
                     {"rules_revision", state_.rules.Read()->revision.value()},
                     {"upstreams", state_.routing.Read()->upstreams.size()},
                     {"in_flight", state_.in_flight.load()},
                     {"draining", state_.draining.load()}}
                    .dump());
  });
}

Status Entry::Start() {
  Status traced = tracer_.Open(settings_.trace_file);
  if (!IsOk(traced)) return traced;
  AddOperatorRoutes();
  live_.AddRoutes(server_.routes());
  trainers_.AddRoutes(server_.routes());
  rules_.AddRoutes(server_.routes());
  homes_.AddRoutes(server_.routes());
  weights_.AddRoutes(server_.routes());
  Status started = server_.Start();
  if (!IsOk(started)) return started;
  rules_.Start();
  Status joined = membership_.Start();
  if (!IsOk(joined)) return joined;
  monitor_.Start();
  homes_.Start();
  weights_.Start();
  LOG(INFO) << "event=started instance=" << settings_.instance
            << " port=" << settings_.listen.port;
  return OkStatus();
}

bool Entry::Drain() {
  LOG(INFO) << "event=drain_started in_flight=" << state_.in_flight;
  state_.draining = true;
  membership_.Leave();
  const TimePoint limit = clock_.Now() + settings_.drain_limit;
  const TimePoint earliest = clock_.Now() + kBalancerLag;
  while (clock_.Now() < limit &&
         (clock_.Now() < earliest || state_.in_flight > 0)) {
    std::this_thread::sleep_for(kDrainCheck);
  }
  const bool finished = state_.in_flight == 0;
  trainers_.Stop();
  weights_.Stop();
  // Claims stop before the listener closes, so that a refused connection proves
  // that this process commits no more claims.
  homes_.Stop();
  monitor_.Stop();
  membership_.Stop();
  rules_.Stop();
  server_.Stop();
  LOG(INFO) << "event=drained finished=" << finished;
  return finished;
}

}  // namespace briarspread
