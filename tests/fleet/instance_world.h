#ifndef TESTS_FLEET_INSTANCE_WORLD_H_
#define TESTS_FLEET_INSTANCE_WORLD_H_

#include <catch2/catch.hpp>
#include <string>

#include "briarspread/fleet/instance_registry.h"
#include "briarspread/fleet/order_lease.h"
#include "tests/support/async_memory_store.h"
#include "tests/support/loop_runner.h"
#include "tests/support/manual_clock.h"

namespace briarspread::testing {

struct CountingListener final : InstanceRegistry::Listener {
  void OnInstancesChanged() override { ++changes; }
  void OnStoreReachable(bool is_reachable) override {
    reachable = is_reachable;
  }
  int changes = 0;
  bool reachable = true;
};

inline InstanceRecord Record(const std::string& name,
                             std::uint64_t incarnation) {
  InstanceRecord record;
  record.name = InstanceId(name);
  record.incarnation = Incarnation(incarnation);
  record.peer_endpoint = Endpoint{"127.0.0.1", 1};
  return record;
}

/// The registry and the order lease of one instance.
struct Instance {
  Instance(asio::io_context& loop, AsyncMemoryStore& store, const Clock& clock,
           const std::string& name, std::uint64_t incarnation = 1)
      : registry(loop, store, store, nullptr, InstanceRegistrySettings{},
                 Record(name, incarnation), listener),
        order_lease(store, registry, OrderLeaseSettings{}, clock) {
    registry.Start();
  }
  CountingListener listener;
  InstanceRegistry registry;
  OrderLease order_lease;
};

/// Runs the loop and delivers the store's answers until `is_done`. Timers of
/// watches run in real time.
template <typename IsDone>
void Await(asio::io_context& loop, AsyncMemoryStore& store,
           const IsDone& is_done) {
  REQUIRE(RunUntil(loop, [&] {
    store.Deliver();
    return is_done();
  }));
}

/// Registers the instance and lets it try to acquire the order lease once.
inline void Acquire(asio::io_context& loop, AsyncMemoryStore& store,
                    Instance& instance) {
  Await(loop, store, [&] {
    return instance.registry.has_listed() &&
           instance.registry.lease().value() != 0;
  });
  instance.order_lease.Step();
  store.Deliver();
}

/// Lets an instance acquire the order lease and wait until it may send orders.
inline void AcquireAndWait(asio::io_context& loop, AsyncMemoryStore& store,
                           ManualClock& clock, Instance& instance) {
  Acquire(loop, store, instance);
  REQUIRE(instance.order_lease.is_holder());
  clock.Advance(seconds(10));
  instance.order_lease.MaySend();
  store.Deliver();
  REQUIRE(instance.order_lease.MaySend());
}

}  // namespace briarspread::testing

#endif  // TESTS_FLEET_INSTANCE_WORLD_H_
