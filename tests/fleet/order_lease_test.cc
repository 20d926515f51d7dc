#include "briarspread/fleet/order_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "tests/fleet/instance_world.h"

namespace briarspread {
namespace {

using testing::Acquire;
using testing::AcquireAndWait;
using testing::AsyncMemoryStore;
using testing::Await;
using testing::Instance;
using testing::ManualClock;
using Fault = AsyncMemoryStore::Fault;

TEST_CASE("a new holder waits until the previous one can no longer send") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  Acquire(loop, store, a);
  REQUIRE(a.order_lease.is_holder());
  const OrderLeaseSettings settings;
  REQUIRE_FALSE(a.order_lease.MaySend());
  clock.Advance(settings.min_order_gap + settings.confirmation_validity);
  REQUIRE_FALSE(a.order_lease.MaySend());
  clock.Advance(settings.margin);
  // The record must have a wait of zero before the first order is sent.
  REQUIRE_FALSE(a.order_lease.MaySend());
  store.Deliver();
  REQUIRE(a.order_lease.MaySend());
}

TEST_CASE("a released lease records the remaining wait of the next holder") {
  const OrderLeaseSettings settings;
  const Duration handover_gap = settings.min_order_gap + settings.margin;
  for (const milliseconds since_order :
       {milliseconds(0), milliseconds(1000), milliseconds(9000)}) {
    asio::io_context loop;
    AsyncMemoryStore store;
    ManualClock clock;
    Instance a(loop, store, clock, "a");
    AcquireAndWait(loop, store, clock, a);
    a.order_lease.RecordOrderSent();
    clock.Advance(since_order);
    a.order_lease.Release();
    store.Deliver();
    REQUIRE_FALSE(a.order_lease.is_holder());
    Instance b(loop, store, clock, "b");
    Acquire(loop, store, b);
    clock.Advance(settings.stagger);
    b.order_lease.Step();
    store.Deliver();
    REQUIRE(b.order_lease.is_holder());
    const Duration remaining_wait =
        std::max<Duration>(Duration(0), handover_gap - since_order);
    if (remaining_wait > Duration(0)) {
      clock.Advance(remaining_wait - milliseconds(1));
      REQUIRE_FALSE(b.order_lease.MaySend());
      store.Deliver();
      REQUIRE_FALSE(b.order_lease.MaySend());
    }
    clock.Advance(milliseconds(1));
    b.order_lease.MaySend();
    store.Deliver();
    REQUIRE(b.order_lease.MaySend());
  }
}

// Guards against the failure of 2026-12-04: a holder without links to the
// upstreams kept the lease, and no version was loaded.
TEST_CASE("a holder that cannot reach upstreams gives the lease up") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  AcquireAndWait(loop, store, clock, a);
  a.order_lease.RecordOrderSent();
  a.order_lease.SetEligible(false);
  REQUIRE_FALSE(a.order_lease.MaySend());
  // The first write is lost; the next step tries again.
  store.SetFault(Fault::kRefuse);
  a.order_lease.Step();
  store.Deliver();
  store.SetFault(Fault::kNone);
  a.order_lease.Step();
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.is_holder());
  a.order_lease.Step();
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.is_holder());
  Instance b(loop, store, clock, "b");
  Acquire(loop, store, b);
  clock.Advance(OrderLeaseSettings{}.stagger);
  b.order_lease.Step();
  store.Deliver();
  REQUIRE(b.order_lease.is_holder());
  // Orders of the two are kept apart.
  REQUIRE_FALSE(b.order_lease.MaySend());
}

TEST_CASE("a holder asked to reconfirm reads the record and steps down") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  Acquire(loop, store, a);
  store.Erase(InstanceRegistry::kOrderLeaseKey);
  a.order_lease.Reconfirm();
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.is_holder());
}

TEST_CASE("a holder that cannot confirm its lease stops sending") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  AcquireAndWait(loop, store, clock, a);
  store.SetFault(Fault::kRefuse);
  clock.Advance(OrderLeaseSettings{}.confirmation_validity);
  REQUIRE_FALSE(a.order_lease.MaySend());
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.MaySend());
}

TEST_CASE("a holder whose record was removed steps down when it confirms") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  Acquire(loop, store, a);
  store.Erase(InstanceRegistry::kOrderLeaseKey);
  clock.Advance(seconds(10));
  REQUIRE_FALSE(a.order_lease.MaySend());
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.is_holder());
}

TEST_CASE("a restarted holder may send orders without waiting") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  FencingNumber before;
  {
    Instance a(loop, store, clock, "a", 1);
    Await(loop, store, [&] {
      return a.registry.has_listed() && a.registry.lease().value() != 0;
    });
    AcquireAndWait(loop, store, clock, a);
    before = a.order_lease.fencing();
    store.Disconnect();
  }
  Instance restarted(loop, store, clock, "a", 2);
  Instance other(loop, store, clock, "b", 1);
  Await(loop, store, [&] {
    return restarted.registry.order_lease_record().has_value() &&
           restarted.registry.lease().value() != 0 &&
           other.registry.order_lease_record().has_value();
  });
  other.order_lease.Step();
  restarted.order_lease.Step();
  store.Deliver();
  REQUIRE_FALSE(other.order_lease.is_holder());
  REQUIRE(restarted.order_lease.is_holder());
  REQUIRE(restarted.order_lease.fencing() > before);
  REQUIRE(restarted.order_lease.MaySend());
}

TEST_CASE("a holder that restarts during its wait waits again") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  {
    Instance a(loop, store, clock, "a", 1);
    Acquire(loop, store, a);
    REQUIRE(a.order_lease.is_holder());
    store.Disconnect();
  }
  Instance restarted(loop, store, clock, "a", 2);
  Await(loop, store, [&] {
    return restarted.registry.order_lease_record().has_value() &&
           restarted.registry.lease().value() != 0;
  });
  restarted.order_lease.Step();
  store.Deliver();
  REQUIRE(restarted.order_lease.is_holder());
  // Another instance may have sent an order just before the first start
  // acquired the lease.
  REQUIRE_FALSE(restarted.order_lease.MaySend());
  store.Deliver();
  REQUIRE_FALSE(restarted.order_lease.MaySend());
}

/// Waits until an instance has registered and knows the current record.
void AwaitRecord(asio::io_context& loop, AsyncMemoryStore& store,
                 const Instance& instance) {
  const StoreIndex now =
      store.items().at(InstanceRegistry::kOrderLeaseKey).index;
  Await(loop, store, [&] {
    const auto& known = instance.registry.order_lease_record();
    return instance.registry.lease().value() != 0 && known.has_value() &&
           known->index == now;
  });
}

/// Lets the registration of `gone` expire and `instance` take over the lease.
void TakeOver(asio::io_context& loop, AsyncMemoryStore& store,
              ManualClock& clock, Instance& instance, const Instance& gone) {
  store.ExpireLease(gone.registry.lease());
  Await(loop, store, [&] {
    return !instance.registry.instances().contains(gone.registry.self().name);
  });
  instance.order_lease.Step();
  clock.Advance(seconds(2));
  instance.order_lease.Step();
  store.Deliver();
  REQUIRE(instance.order_lease.is_holder());
}

TEST_CASE("a restarted holder takes back a lease under which none has sent") {
  // The holder is killed and its registration expires before it restarts; new
  // versions that were named meanwhile must not wait for a takeover.
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  auto first = std::make_unique<Instance>(loop, store, clock, "a", 1);
  AcquireAndWait(loop, store, clock, *first);
  Instance other(loop, store, clock, "b", 1);
  Await(loop, store,
        [&] { return other.registry.instances().contains(InstanceId("a")); });
  TakeOver(loop, store, clock, other, *first);
  REQUIRE_FALSE(other.order_lease.MaySend());
  first.reset();
  Instance restarted(loop, store, clock, "a", 2);
  AwaitRecord(loop, store, restarted);
  restarted.order_lease.Step();
  store.Deliver();
  REQUIRE(restarted.order_lease.is_holder());
  REQUIRE(restarted.order_lease.MaySend());
  // The other instance has sent no order and can no longer send under its
  // fencing number.
  clock.Advance(seconds(20));
  other.order_lease.MaySend();
  store.Deliver();
  REQUIRE_FALSE(other.order_lease.MaySend());
}

TEST_CASE("a restarted holder does not take back a lease that is in use") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  auto first = std::make_unique<Instance>(loop, store, clock, "a", 1);
  AcquireAndWait(loop, store, clock, *first);
  Instance other(loop, store, clock, "b", 1);
  Await(loop, store,
        [&] { return other.registry.instances().contains(InstanceId("a")); });
  TakeOver(loop, store, clock, other, *first);
  clock.Advance(seconds(10));
  other.order_lease.MaySend();
  store.Deliver();
  REQUIRE(other.order_lease.MaySend());
  first.reset();
  Instance restarted(loop, store, clock, "a", 2);
  AwaitRecord(loop, store, restarted);
  REQUIRE(restarted.registry.instances().contains(InstanceId("b")));
  restarted.order_lease.Step();
  store.Deliver();
  REQUIRE_FALSE(restarted.order_lease.is_holder());
  REQUIRE(other.order_lease.MaySend());
}

TEST_CASE("a holder without a wait is recorded as the last sender") {
  // If a released lease leaves no wait, the next holder may send immediately,
  // so the previous holder must not take the lease back when it restarts.
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance first(loop, store, clock, "a", 1);
  AcquireAndWait(loop, store, clock, first);
  first.order_lease.Release();
  store.Deliver();
  Instance other(loop, store, clock, "b", 1);
  Acquire(loop, store, other);
  clock.Advance(seconds(2));
  other.order_lease.Step();
  store.Deliver();
  REQUIRE(other.order_lease.MaySend());
  Instance restarted(loop, store, clock, "a", 2);
  AwaitRecord(loop, store, restarted);
  REQUIRE(restarted.registry.instances().contains(InstanceId("b")));
  restarted.order_lease.Step();
  store.Deliver();
  REQUIRE_FALSE(restarted.order_lease.is_holder());
}

TEST_CASE("holders that sent no order keep the recorded last sender") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a", 1);
  AcquireAndWait(loop, store, clock, a);
  Instance b(loop, store, clock, "b", 1);
  Instance c(loop, store, clock, "c", 1);
  for (Instance* each : {&b, &c}) {
    Await(loop, store, [&] {
      return each->registry.instances().contains(InstanceId("a")) &&
             each->registry.instances().contains(InstanceId("b"));
    });
  }
  TakeOver(loop, store, clock, b, a);
  AwaitRecord(loop, store, c);
  TakeOver(loop, store, clock, c, b);
  const auto record = ParseOrderLeaseRecord(
      store.items().at(InstanceRegistry::kOrderLeaseKey).value);
  REQUIRE(record.has_value());
  REQUIRE(record->holder == InstanceId("c"));
  REQUIRE(record->last_sender == InstanceId("a"));
  REQUIRE(record->wait > milliseconds(0));
}

TEST_CASE("a malformed record is taken over with the full wait") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  store.Write(InstanceRegistry::kOrderLeaseKey, "[not a record");
  Instance a(loop, store, clock, "a");
  Acquire(loop, store, a);
  REQUIRE(a.order_lease.is_holder());
  clock.Advance(OrderLeaseSettings{}.min_order_gap);
  REQUIRE_FALSE(a.order_lease.MaySend());
}

TEST_CASE("a holder whose acquire answer was lost finds its own record") {
  asio::io_context loop;
  AsyncMemoryStore store;
  ManualClock clock;
  Instance a(loop, store, clock, "a");
  Await(loop, store, [&] {
    return a.registry.has_listed() && a.registry.lease().value() != 0;
  });
  store.SetFault(Fault::kLoseAnswer);
  a.order_lease.Step();
  store.SetFault(Fault::kNone);
  store.Deliver();
  REQUIRE_FALSE(a.order_lease.is_holder());
  a.order_lease.Step();
  store.Deliver();
  REQUIRE(a.order_lease.is_holder());
  REQUIRE_FALSE(a.order_lease.MaySend());
}

}  // namespace
}  // namespace briarspread
