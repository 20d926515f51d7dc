#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/core/rendezvous.h"
#include "briarspread/duties/usage_digest.h"
#include "tests/duties/duty_world.h"

namespace briarspread::duties {
namespace {

using accounts::AccountId;
using Fault = testing::AsyncMemoryStore::Fault;
using testing::ManualClock;

constexpr milliseconds kWindow = DutyWorld::kWindow;

// Guards against counts that grow when a digest is repeated, or fall when an
// old one arrives late.
TEST_CASE("counts of other instances merge by maximum") {
  ManualClock clock;
  const TrueTime true_time(TrueTimeSettings{}, clock);
  UsageCounter counter(UsageCounterSettings{}, {InstanceId("a"), {}}, true_time,
                       clock);
  const UsageWindow window = WindowAt(clock.WallNow(), kWindow);
  SourceCounts counts{{InstanceId("b"), Incarnation(1)}, window, {}};
  const auto merge = [&](std::uint32_t n) {
    counts.counts = {{AccountId("x"), n}};
    counter.Merge(counts);
    return counter.Total(window).at(AccountId("x"));
  };
  REQUIRE(merge(3) == 3);
  REQUIRE(merge(3) == 3);
  REQUIRE(merge(2) == 3);
  REQUIRE(merge(7) == 7);
  // A new start of the program counts from zero.
  counts.source.incarnation = Incarnation(2);
  REQUIRE(merge(1) == 8);
  // The report of the window is decided: nothing is added any more.
  counter.CloseBefore(UsageWindow(window.value() + 1));
  counter.Merge(counts);
  REQUIRE(counter.Total(window).empty());
}

// Guards against memory that grows while nothing is decided.
TEST_CASE("windows and accounts are bounded") {
  ManualClock clock;
  const TrueTime true_time(TrueTimeSettings{}, clock);
  UsageCounterSettings settings;
  settings.max_windows = 3;
  settings.max_accounts = 2;
  UsageCounter counter(settings, {InstanceId("a"), {}}, true_time, clock);
  clock.Advance(seconds(10));
  const UsageWindow first = WindowAt(clock.WallNow(), kWindow);
  for (int i = 0; i < 5; ++i) {
    for (const char* account : {"x", "y", "z"}) {
      counter.RecordStart(AccountId(account), clock.Now());
    }
    counter.PlaceStarts();
    clock.Advance(kWindow);
  }
  REQUIRE(counter.Total(UsageWindow(first.value() + 1)).empty());
  REQUIRE(counter.Total(UsageWindow(first.value() + 2)).size() == 2);
}

TEST_CASE("a digest survives encoding, and malformed bytes are refused") {
  UsageDigest digest;
  digest.from = InstanceId("a");
  digest.clock = {WallTime(seconds(5)), WallTime(seconds(6)), 7};
  digest.first_window = UsageWindow(8);
  digest.open_window = UsageWindow(9);
  digest.counts = {{{InstanceId("b"), Incarnation(1)},
                    UsageWindow(8),
                    {{AccountId("x"), 3}}}};
  const std::string bytes = Encode(digest);
  const auto parsed = ParseUsageDigest(bytes);
  REQUIRE(parsed.has_value());
  REQUIRE(Encode(*parsed) == bytes);
  REQUIRE(parsed->counts.at(0).counts.at(0).second == 3);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    REQUIRE_FALSE(ParseUsageDigest(bytes.substr(0, n)).has_value());
  }
}

// Guards against a jump of one wall clock that moves counts to another window,
// and against a machine whose clock is wrong from the start.
TEST_CASE("wall clocks that jump or are wrong move no count") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  DutyInstance& b = world.Start("b");
  DutyInstance& c = world.Start("c", seconds(-7));
  for (int i = 0; i < 300; ++i) {
    if (i == 100) b.clock.skew = seconds(9);
    if (i == 140) a.clock.skew = seconds(-4);
    if (i == 200) b.clock.skew = seconds(0);
    world.Run(DutyWorld::kStep);
    // Not within the time that a message takes of a window's boundary.
    for (DutyInstance* it : {&a, &b, &c}) world.Begin(*it);
  }
  world.Run(seconds(20));
  const auto reported = world.Reported();
  for (const auto& [window, count] : world.begun) {
    INFO("window " << window);
    REQUIRE(reported.contains(window));
    REQUIRE(reported.at(window) == count);
  }
}

// Guards against counts that are lost with a message, or with their instance
// later than a second after the start that they count.
TEST_CASE("counts survive lost messages and the end of their instances") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  DutyInstance& b = world.Start("b");
  world.Start("b2");
  world.Start("c");
  // The second copy is not at the next holder, which must get it from there.
  const std::vector<std::string> names{"b", "b2", "c"};
  REQUIRE(names[RendezvousFirst("usage", names)] == "c");
  world.Run(seconds(12));
  for (int i = 0; i < 20; ++i) {
    world.Begin(b);
    world.is_network_down = i % 7 < 3;
    world.Run(DutyWorld::kStep);
  }
  world.is_network_down = true;
  world.Begin(b);
  world.Run(seconds(1));
  world.is_network_down = false;
  world.Run(seconds(1));
  world.Kill(b);
  world.Kill(a);
  world.Run(seconds(30));
  const auto reported = world.Reported();
  for (const auto& [window, count] : world.begun) {
    REQUIRE(reported.at(window) == count);
  }
}

/// Returns the first window that the instance has not decided.
UsageWindow NextWindow(const DutyInstance& instance) {
  return instance.counter.open_window();
}

// Guards against a write whose answer was lost and that takes effect after the
// report was acknowledged and removed: it must have the same counts.
TEST_CASE("a repeated write of a report has the counts of the first one") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  world.Run(seconds(20));
  const UsageWindow window = NextWindow(a);
  const WallTime due =
      EndOf(window, kWindow) + UsageReporterSettings{}.decision_delay;
  world.store.FailNextCommit(UsageReporter::kPrefix, Fault::kLoseCall);
  world.Run(due - world.clock.WallNow() + 3 * DutyWorld::kStep);
  REQUIRE(NextWindow(a) == window);
  // Counted late, between the two writes.
  const Duration age = world.clock.WallNow() - EndOf(window, kWindow);
  a.counter.RecordStart(AccountId("a"),
                        world.clock.Now() - age - DutyWorld::kStep);
  a.counter.PlaceStarts();
  REQUIRE(a.counter.Total(window).size() == 1);
  world.Run(seconds(2));
  REQUIRE(world.Reported().at(window) == 0);
}

// Guards against counts that are sent although the store holds others.
TEST_CASE("a report that the store holds is sent as it stands") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  world.Run(seconds(20));
  const UsageWindow window = NextWindow(a);
  const std::string digits = std::to_string(window.value());
  world.store.Write(
      UsageReporter::kPrefix + std::string(20 - digits.size(), '0') + digits,
      R"({"a":99})");
  world.Run(2 * kWindow);
  REQUIRE(world.Reported().at(window) == 99);
}

// Guards against a holder that was frozen and sends without a confirmation of
// its lease.
TEST_CASE("a holder that cannot be sure of its lease sends nothing") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  world.Run(seconds(20));
  a.api.fault = ApiFault::kLoseCall;
  world.Run(kWindow);
  a.api.fault = ApiFault::kNone;
  const std::size_t received = world.received.size();
  world.clock.Advance(seconds(10));
  a.reporter.Step();
  REQUIRE(world.received.size() == received);
  world.store.Deliver();
  a.reporter.Step();
  REQUIRE(world.received.size() == received + 1);
}

// Guards against a report that is decided although a condition on the lease
// failed, and against an absent report in a conflict that is taken for one.
TEST_CASE("a holder whose lease was taken decides nothing") {
  DutyWorld world;
  DutyInstance& a = world.Start("a");
  world.Run(seconds(20));
  world.Begin(a);
  const std::uint64_t decided = a.reporter.metrics().decided;
  const std::size_t received = world.received.size();
  // Another holder's record, which no watch has reported yet.
  OrderLeaseRecord record;
  record.holder = InstanceId("z");
  world.clock.Advance(kWindow);
  a.fleet.order_lease.MaySend();
  world.store.Deliver();
  world.store.Write(InstanceRegistry::kOrderLeaseKey, Encode(record));
  a.reporter.Step();
  world.store.Deliver();
  REQUIRE(a.reporter.metrics().decided == decided);
  REQUIRE(world.received.size() == received);
  REQUIRE_FALSE(a.fleet.order_lease.is_holder());
}

// Guards against a duty that costs calls to the store while nothing is due.
TEST_CASE("a window costs one transaction and one confirmation of the lease") {
  DutyWorld world;
  world.Start("a");
  world.Run(seconds(20));
  const std::size_t before = world.store.calls();
  constexpr std::size_t kWindows = 10;
  world.Run(kWindows * kWindow);
  // A watch follows no write of this instance outside its prefix.
  REQUIRE(world.store.calls() - before <= 2 * kWindows);
  std::size_t stored = 0;
  for (const auto& [key, item] : world.store.items()) {
    stored += key.starts_with(UsageReporter::kPrefix) ? 1 : 0;
  }
  REQUIRE(stored <= 2);
}

/// Checks what the API has received.
void CheckReceived(const DutyWorld& world) {
  std::map<UsageWindow, AccountCounts> reports;
  std::map<FencingNumber, InstanceId> holders;
  FencingNumber last;
  for (const ReceivedReport& it : world.received) {
    RC_ASSERT(it.fencing >= last);
    last = it.fencing;
    RC_ASSERT(holders.emplace(it.fencing, it.holder).first->second ==
              it.holder);
    const auto& counts = it.report.counts;
    RC_ASSERT(reports.emplace(it.report.window, counts).first->second ==
              counts);
  }
  for (const auto& [window, count] : world.Reported()) {
    const auto begun = world.begun.find(window);
    RC_ASSERT(count <= (begun == world.begun.end() ? 0 : begun->second));
  }
  RC_ASSERT(!reports.empty());
  const UsageWindow first = reports.begin()->first;
  // From when a holder has acted, the start of the fleet is known.
  RC_ASSERT(world.acted_at.has_value());
  RC_ASSERT(first <= WindowAt(*world.acted_at, kWindow));
  const UsageWindow last_ended =
      WindowAt(world.clock.WallNow() - seconds(10), kWindow);
  for (UsageWindow it = first; it < last_ended;
       it = UsageWindow(it.value() + 1)) {
    RC_ASSERT(reports.contains(it));
  }
}

/// Applies one random fault.
void ApplyFault(DutyWorld& world, const std::string& name, int fault) {
  DutyInstance* const instance = world.Find(name);
  if (instance == nullptr) {
    world.Start(name);
    return;
  }
  const std::string reports = UsageReporter::kPrefix;
  switch (fault) {
    case 0:
      world.Kill(*instance);
      break;
    case 1:
      instance->frozen_steps = 40;
      break;
    case 2:
      world.store.FailNextCommit(reports, Fault::kLoseAnswer);
      break;
    case 3:
      world.store.FailNextCommit(reports, Fault::kLoseCall);
      break;
    case 4:
      world.store.FailNextRead(reports, Fault::kRefuse);
      break;
    case 5:
      world.store.FailNextRead(InstanceRegistry::kOrderLeaseKey,
                               Fault::kRefuse);
      break;
    case 6:
      instance->api.fault = ApiFault::kLoseAnswer;
      break;
    case 7:
      instance->api.fault = ApiFault::kLoseCall;
      break;
    case 8:
      instance->api.fault = ApiFault::kNone;
      break;
    default:
      world.is_network_down = !world.is_network_down;
  }
}

// Guards against two different reports of one window, a fencing number that
// falls, and windows that are never reported.
TEST_CASE("reports are unique and complete under faults") {
  rc::prop("reports", [] {
    constexpr int kFaults = 10;
    const std::vector<std::string> names{"a", "b", "c"};
    DutyWorld world;
    for (const std::string& name : names) world.Start(name);
    world.Begin(*world.Find("a"));
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        25,
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, kFaults)));
    for (const auto& [who, fault] : faults) {
      ApplyFault(world, names[static_cast<std::size_t>(who)], fault);
      for (int i = 0; i < 10; ++i) {
        for (const std::string& name : names) {
          DutyInstance* const it = world.Find(name);
          if (it != nullptr && it->frozen_steps == 0) world.Begin(*it);
        }
        world.Run(DutyWorld::kStep);
      }
    }
    world.is_network_down = false;
    for (const std::string& name : names) {
      if (world.Find(name) == nullptr) world.Start(name);
      world.Find(name)->api.fault = ApiFault::kNone;
    }
    world.Run(seconds(40));
    CheckReceived(world);
  });
}

}  // namespace
}  // namespace briarspread::duties
