#ifndef TESTS_BATCH_JOB_GATEWAY_FIXTURE_H_
#define TESTS_BATCH_JOB_GATEWAY_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/batch/job_calls.h"
#include "briarspread/batch/job_gateway.h"
#include "briarspread/batch/job_peer_handler.h"
#include "briarspread/fleet/home_order.h"
#include "tests/batch/job_runner_fixture.h"
#include "tests/fleet/instance_world.h"

namespace briarspread::batch {

using briarspread::testing::Record;

/// Fixture with the job gateway of one registered instance and the job runner
/// that it uses, both on a store in memory.
struct JobGatewayFixture : JobRunnerFixture {
  explicit JobGatewayFixture(
      const JobRunnerSettings& settings = JobRunnerFixture::FastSettings())
      : registry(loop, store, store, nullptr, InstanceRegistrySettings{},
                 Record("a", 1), registry_listener),
        peers(loop),
        gateway(loop, jobs, registry, peers, clock, FastGatewaySettings()),
        own(context, jobs, settings, registry.self(), gateway) {
    registry.Start();
    gateway.Start(own);
    own.Start();
    AwaitStore([&] { return registry.instances().contains(InstanceId("a")); });
  }

  static JobGatewaySettings FastGatewaySettings() {
    JobGatewaySettings settings;
    settings.accept_timeout = milliseconds(50);
    settings.call_timeout = milliseconds(50);
    settings.takeover_stagger = milliseconds(1);
    settings.takeover_interval = milliseconds(5);
    settings.min_retry_pause = milliseconds(5);
    return settings;
  }

  /// Returns the record of a job that this instance owns.
  static JobRecord RecordOfOwner(const InstanceRecord& owner,
                                 const JobSpec& spec) {
    JobRecord record;
    record.owner = owner.name;
    record.incarnation = owner.incarnation;
    record.owner_endpoint = owner.peer_endpoint;
    record.total = spec.items.size();
    record.home_key = "key";
    return record;
  }

  /// Adds a job to the store that an instance accepted which no longer runs.
  StoredRecord AddOrphan(const JobSpec& spec) {
    StoredRecord stored{spec.id, RecordOfOwner(Record("gone", 1), spec),
                        StoreIndex()};
    jobs.Accept(spec, stored.record, [](const auto&) {});
    store.Deliver();
    jobs.ReadRecord(spec.id, [&](const auto& read) { stored = ValueOf(read); });
    store.Deliver();
    return stored;
  }

  /// Registers another instance and waits until this one knows it.
  void AddInstance(const InstanceRecord& record) {
    store.Write(InstanceRegistry::kInstancePrefix + record.name.value(),
                nlohmann::json(record).dump());
    AwaitStore([&] { return registry.instances().contains(record.name); });
  }

  /// Whether the instance with this name is the home of the job.
  bool IsHome(const std::string& name, const JobSpec& spec) const {
    std::vector<InstanceRecord> all = registry.Peers();
    all.push_back(registry.self());
    return HomeOrder(HomeKeyOf(spec), registry.self().locality, std::move(all))
               .front()
               .name.value() == name;
  }

  briarspread::testing::CountingListener registry_listener;
  InstanceRegistry registry;
  PeerClient peers;
  JobGateway gateway;
  JobRunner own;
};

}  // namespace briarspread::batch

#endif  // TESTS_BATCH_JOB_GATEWAY_FIXTURE_H_
