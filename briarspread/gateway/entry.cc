#include "briarspread/gateway/entry.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <random>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// How long the balancer may still send new work once readiness has dropped.
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

RulesAgentSettings RulesSettings(const EntrySettings& settings) {
  RulesAgentSettings rules;
  rules.distributor.self = settings.instance;
  rules.distributor.zone = settings.locality.zone;
  if (settings.peer_authentication) rules.peers.peer_key = settings.peer_key;
  return rules;
}

UpstreamMonitorSettings MonitorSettings(const EntrySettings& settings) {
  UpstreamMonitorSettings monitor;
  monitor.self = settings.locality;
  monitor.interval = settings.poll_interval;
  return monitor;
}

}  // namespace

Entry::Entry(const EntrySettings& settings)
    : settings_(settings),
      random_(std::random_device{}()),
      tracer_(settings.instance.value(), clock_, random_),
      context_{settings.instance, state_, clock_, random_, metrics_, tracer_},
      client_(HttpUpstreamClientSettings{}, clock_),
      store_(PlatformSettings(settings), client_),
      list_(PlatformSettings(settings), client_),
      router_(TwoChoicesSettings{}, random_, clock_),
      gates_(clock_),
      rules_(RulesSettings(settings), store_, client_, state_, clock_, random_),
      monitor_(MonitorSettings(settings), context_, list_, client_, gates_),
      caller_(context_, router_, client_, gates_, monitor_.refusals()),
      live_(context_, caller_),
      trainers_(TrainerHandlerSettings{}, settings.peer_key, state_, caller_,
                clock_),
      server_(ServerSettings(settings)) {
  monitor_.SetListObserver(
      [this](const auto& listed) { rules_.OnInstances(listed); });
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
  Status started = server_.Start();
  if (!IsOk(started)) return started;
  rules_.Start();
  monitor_.Start();
  LOG(INFO) << "event=started instance=" << settings_.instance
            << " port=" << settings_.listen.port;
  return OkStatus();
}

bool Entry::Drain() {
  LOG(INFO) << "event=drain_started in_flight=" << state_.in_flight;
  state_.draining = true;
  const TimePoint limit = clock_.Now() + settings_.drain_limit;
  const TimePoint earliest = clock_.Now() + kBalancerLag;
  while (clock_.Now() < limit &&
         (clock_.Now() < earliest || state_.in_flight > 0)) {
    std::this_thread::sleep_for(kDrainCheck);
  }
  const bool finished = state_.in_flight == 0;
  trainers_.Stop();
  rules_.Stop();
  monitor_.Stop();
  server_.Stop();
  LOG(INFO) << "event=drained finished=" << finished;
  return finished;
}

}  // namespace briarspread
