#include "briarspread/gateway/weights_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarspread/transport/http_server.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kLeaseKey[] = "briarspread/weights-lease";
constexpr milliseconds kQueryTimeout{2000};
/// Interval at which the replicas are read from the routing table.
constexpr milliseconds kUpdateInterval{1000};
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

/// Returns the `version` of a JSON body, or `std::nullopt` if it has none.
std::optional<WeightVersion> ParseVersion(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto it = json.find("version");
  if (it == json.end() || !it->is_number_unsigned()) return std::nullopt;
  return WeightVersion(it->get<std::uint64_t>());
}

}  // namespace

HttpEngineOrders::HttpEngineOrders(const InstanceId& self,
                                   UpstreamClient& client, const Clock& clock)
    : self_(self), client_(client), clock_(clock) {}

OrderOutcome HttpEngineOrders::SendOrder(const LoadOrder& order,
                                         milliseconds timeout) {
  Json body = {{"version", order.version.value()},
               {"fencing", order.fencing.value()},
               {"holder", self_.value()}};
  if (order.source.has_value()) {
    body["source"] =
        order.source->host + ":" + std::to_string(order.source->port);
  } else {
    body["bytes_per_second"] = order.bytes_per_second;
  }
  UpstreamRequest request;
  request.endpoint = order.endpoint;
  request.path = "/admin/weights";
  request.body = body.dump();
  request.timeout = timeout;
  request.may_reuse_connection = false;
  if (clock_.Now() >= order.send_before) return OrderOutcome::kNotSent;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage <= ExchangeStage::kConnecting) return OrderOutcome::kFailed;
  if (outcome.stage != ExchangeStage::kEnded) return OrderOutcome::kUnknown;
  const bool loaded =
      outcome.status == kHttpOk && ParseVersion(outcome.body) == order.version;
  return loaded ? OrderOutcome::kLoaded : OrderOutcome::kFailed;
}

Result<WeightVersion> HttpEngineOrders::QueryVersion(const ReadVersion& query) {
  UpstreamRequest request;
  request.endpoint = query.endpoint;
  request.method = "GET";
  request.path = "/load";
  request.timeout = kQueryTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  const auto version = ParseVersion(outcome.body);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk ||
      !version.has_value()) {
    return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
                 "the engine did not say which version it has loaded"};
  }
  return *version;
}

class WeightsAgent::SettingsSource final : public WeightStoreInfo {
 public:
  explicit SettingsSource(const WeightsAgentSettings& settings)
      : settings_(settings) {}
  RegionId Region() const override { return settings_.store_region; }
  std::uint64_t StoreBytesPerSecond() const override {
    return settings_.store_bytes_per_second;
  }
  std::uint64_t LinkBytesPerSecond(const RegionId& /*region*/) const override {
    return settings_.link_bytes_per_second;
  }

 private:
  const WeightsAgentSettings& settings_;
};

WeightsAgent::WeightsAgent(const WeightsAgentSettings& settings,
                           const InstanceId& self, Incarnation incarnation,
                           KeyValueStore& store, EngineOrders& orders,
                           const FencingRules& fencing, ControlState& state,
                           const Clock& clock, RandomSource& random)
    : settings_(settings),
      self_(self),
      store_(store),
      orders_(orders),
      fencing_(fencing),
      state_(state),
      clock_(clock),
      random_(random),
      source_(std::make_unique<SettingsSource>(settings_)),
      lease_(
          [&settings] {
            LeaseSettings lease = settings.lease;
            lease.key = kLeaseKey;
            return lease;
          }(),
          self, incarnation, store, clock, random),
      contend_at_(clock.Now()),
      update_at_(clock.Now()),
      out_of_rotation_(std::make_unique<const std::vector<UpstreamId>>()) {}

WeightsAgent::~WeightsAgent() { Stop(); }

void WeightsAgent::Start() {
  for (std::size_t i = 0; i < settings_.threads; ++i) {
    workers_.emplace_back([this] { RunWork(); });
  }
  thread_ = std::thread([this] { Run(); });
}

void WeightsAgent::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  outcome_added_.notify_all();
  if (thread_.joinable()) thread_.join();
  {
    std::lock_guard lock(mutex_);
    stopping_workers_ = true;
  }
  work_added_.notify_all();
  for (std::thread& worker : workers_) worker.join();
  workers_.clear();
}

void WeightsAgent::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto outcomes = std::exchange(outcomes_, {});
    lock.unlock();
    for (const Outcome& outcome : outcomes) outcome();
    RunStep();
    lock.lock();
    outcome_added_.wait_for(lock, settings_.tick,
                            [this] { return stopping_ || !outcomes_.empty(); });
  }
  // The lease is released only if no order is in flight.
  in_flight_ -= work_.size();
  work_.clear();
  outcome_added_.wait(lock, [this] { return in_flight_ == 0; });
  // It is not released either while an order without an answer may still run.
  const bool are_orders_settled = clock_.Now() >= orders_settled_at_;
  lock.unlock();
  if (are_orders_settled) lease_.Release();
}

void WeightsAgent::RunWork() {
  std::unique_lock lock(mutex_);
  while (true) {
    work_added_.wait(lock,
                     [this] { return stopping_workers_ || !work_.empty(); });
    if (stopping_workers_) return;
    const Work work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work();
    lock.lock();
    --in_flight_;
    outcome_added_.notify_all();
  }
}

void WeightsAgent::Enqueue(Work work) {
  {
    std::lock_guard lock(mutex_);
    work_.push_back(std::move(work));
    ++in_flight_;
  }
  work_added_.notify_one();
}

void WeightsAgent::Report(Outcome outcome) {
  std::lock_guard lock(mutex_);
  outcomes_.push_back(std::move(outcome));
}

void WeightsAgent::StepLease(TimePoint now) {
  const bool held = lease_.View().is_held;
  if (!held && now < contend_at_) return;
  lease_.Step();
  const bool holds = lease_.View().is_held;
  if (holds != is_holder_.exchange(holds)) {
    LOG(INFO) << "event=weights_lease held=" << holds
              << " fencing=" << lease_.View().fencing;
  }
  if (holds) return;
  contend_at_ = now + settings_.contend_interval;
  ReadOutOfRotation();
}

void WeightsAgent::RunStep() {
  const TimePoint now = clock_.Now();
  StepLease(now);
  if (now >= update_at_) {
    UpdateReplicas();
    update_at_ = now + kUpdateInterval;
  }
  for (auto& [model, rollout] : rollouts_) {
    auto actions = rollout->NextActions(clock_.Now(), lease_.View());
    for (RolloutAction& action : actions) {
      Execute(*rollout, model, std::move(action));
    }
  }
  if (is_holder_.load()) PublishOutOfRotation();
}

void WeightsAgent::UpdateReplicas() {
  std::map<std::string, std::vector<Replica>> by_model;
  {
    const auto routing = state_.routing.Read();
    for (const UpstreamView& upstream : routing->upstreams) {
      const ListedInstance& listed = upstream.listed;
      if (listed.kind != InstanceKind::kModelEngine) continue;
      Replica replica;
      replica.id = UpstreamId(listed.name);
      replica.endpoint = listed.endpoint;
      replica.locality = listed.locality;
      by_model[listed.serves].push_back(std::move(replica));
    }
  }
  for (auto& [model, replicas] : by_model) {
    const bool checks = fencing_.ChecksFencing(model);
    for (Replica& replica : replicas) replica.checks_fencing = checks;
    auto& rollout = rollouts_[model];
    if (rollout == nullptr) {
      WeightRolloutSettings settings = settings_.rollout;
      settings.model = ModelName(model);
      rollout =
          std::make_unique<WeightRollout>(settings, self_, *source_, random_);
    }
    rollout->SetReplicas(replicas);
  }
}

void WeightsAgent::Execute(WeightRollout& rollout, const std::string& model,
                           RolloutAction action) {
  const std::string key = RolloutKey(ModelName(model));
  if (std::holds_alternative<ReadRecord>(action)) {
    rollout.OnRecord(clock_.Now(), store_.Get(key));
  } else if (const auto* save = std::get_if<SaveRecord>(&action)) {
    rollout.OnSaved(save->operation,
                    store_.CompareAndSwap(key, save->value, save->expected));
  } else if (const auto* query = std::get_if<ReadVersion>(&action)) {
    Enqueue([this, &rollout, query = *query] {
      const auto version = orders_.QueryVersion(query);
      Report([this, &rollout, query, version] {
        rollout.OnVersion(clock_.Now(), query.id, version);
      });
    });
  } else if (const auto* order = std::get_if<LoadOrder>(&action)) {
    Enqueue([this, &rollout, order = *order] {
      const OrderOutcome outcome =
          orders_.SendOrder(order, settings_.rollout.max_order_duration);
      if (outcome == OrderOutcome::kUnknown) {
        std::lock_guard lock(mutex_);
        orders_settled_at_ =
            clock_.Now() + settings_.rollout.max_order_duration;
      }
      if (outcome != OrderOutcome::kLoaded) {
        LOG(WARNING) << "event=weights_order_failed upstream=" << order.id
                     << " version=" << order.version
                     << " outcome=" << static_cast<int>(outcome);
      }
      Report([this, &rollout, order, outcome] {
        rollout.OnOrder(clock_.Now(), order, outcome);
      });
    });
  }
}

void WeightsAgent::PublishOutOfRotation() {
  std::vector<UpstreamId> out;
  for (const auto& [model, rollout] : rollouts_) {
    for (UpstreamId& id : rollout->OutOfRotation()) {
      out.push_back(std::move(id));
    }
  }
  if (out == *out_of_rotation_.Read()) return;
  out_of_rotation_.Publish(
      std::make_unique<const std::vector<UpstreamId>>(std::move(out)));
}

void WeightsAgent::ReadOutOfRotation() {
  std::vector<UpstreamId> out;
  for (const auto& [model, rollout] : rollouts_) {
    const auto read = store_.Get(RolloutKey(ModelName(model)));
    // During an outage of the store, the last published value stays.
    if (!IsOk(read)) return;
    if (!ValueOf(read).has_value()) continue;
    const auto record = DecodeRollout(ValueOf(read)->value);
    if (!IsOk(record)) continue;
    for (const ReplicaRecord& replica : ValueOf(record).replicas) {
      if (replica.progress == ReplicaProgress::kFailed) {
        out.push_back(replica.id);
      }
    }
  }
  out_of_rotation_.Publish(
      std::make_unique<const std::vector<UpstreamId>>(std::move(out)));
}

void WeightsAgent::AddRoutes(httplib::Server& routes) {
  constexpr char kPath[] = R"(/v1/weights/([A-Za-z0-9._-]{1,64}))";
  routes.Post(kPath,
              [this](const auto& in, auto& out) { PostVersion(in, out); });
  routes.Get(kPath, [this](const auto& in, auto& out) { GetVersion(in, out); });
}

void WeightsAgent::PostVersion(const httplib::Request& in,
                               httplib::Response& out) {
  const auto version = ParseVersion(in.body);
  if (!version.has_value() || *version == WeightVersion(0)) {
    const Error error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                      R"(the body must be {"version": N} with N above 0)"};
    RespondError(out, HttpStatusOf(error.code), error);
    return;
  }
  const OperationId operation(self_.value() + "-" +
                              std::to_string(random_.Next()));
  const Status requested = RequestRollout(
      store_, ModelName(in.matches[1].str()), *version, operation);
  if (!IsOk(requested)) {
    const Error& error = ErrorOf(requested);
    RespondError(out, HttpStatusOf(error.code), error);
    return;
  }
  RespondJson(out, kHttpAccepted, Json{{"version", version->value()}}.dump());
}

void WeightsAgent::GetVersion(const httplib::Request& in,
                              httplib::Response& out) {
  const auto read = store_.Get(RolloutKey(ModelName(in.matches[1].str())));
  if (!IsOk(read)) {
    RespondError(out, HttpStatusOf(ErrorOf(read).code), ErrorOf(read));
    return;
  }
  if (!ValueOf(read).has_value()) {
    const Error error{ErrorCode::kNotFound, Verdict::kNotRun,
                      "no rollout of this model was asked for"};
    RespondError(out, HttpStatusOf(error.code), error);
    return;
  }
  RespondJson(out, kHttpOk, ValueOf(read)->value);
}

}  // namespace briarspread
