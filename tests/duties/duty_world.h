#ifndef TESTS_DUTIES_DUTY_WORLD_H_
#define TESTS_DUTIES_DUTY_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "briarspread/duties/usage_publisher.h"
#include "briarspread/duties/usage_reporter.h"
#include "tests/fleet/instance_world.h"

namespace briarspread::duties {

/// A machine's clock: the common one with a shifted wall clock.
class SkewedClock final : public Clock {
 public:
  explicit SkewedClock(const Clock& base) : base_(base) {}
  TimePoint Now() const override { return base_.Now(); }
  WallTime WallNow() const override { return base_.WallNow() + skew; }

  milliseconds skew{0};

 private:
  const Clock& base_;
};

/// A report as the API received it.
struct ReceivedReport {
  InstanceId holder;
  FencingNumber fencing;
  UsageReport report;
};

/// What the API does with calls.
enum class ApiFault { kNone, kLoseCall, kLoseAnswer };

/// One instance's way to the API. Answers are queued until `Deliver`.
class FakeControlApi final : public ControlApi {
 public:
  FakeControlApi(InstanceId self, std::vector<ReceivedReport>& received)
      : self_(std::move(self)), received_(received) {}

  bool TryAdmit() override { return is_alive; }
  void ReportUsage(const UsageReport& report, FencingNumber fencing,
                   std::function<void(ReportOutcome)> done) override {
    if (fault != ApiFault::kLoseCall) {
      received_.push_back({self_, fencing, report});
    }
    const bool is_answered = fault == ApiFault::kNone;
    answers_.push_back([done = std::move(done), is_answered] {
      done(is_answered ? ReportOutcome::kAcknowledged : ReportOutcome::kFailed);
    });
  }
  void Deliver() {
    std::deque<std::function<void()>> answers;
    answers.swap(answers_);
    for (const auto& answer : answers) answer();
  }

  ApiFault fault = ApiFault::kNone;
  bool is_alive = true;

 private:
  const InstanceId self_;
  std::vector<ReceivedReport>& received_;
  std::deque<std::function<void()>> answers_;
};

class DutyWorld;

/// One start of an instance. After a kill it remains as an object that does
/// nothing more.
struct DutyInstance {
  DutyInstance(DutyWorld& world, const std::string& name,
               std::uint64_t incarnation, milliseconds skew);

  SkewedClock clock;
  asio::io_context loop;
  testing::Instance fleet;
  TrueTime true_time;
  UsageCounter counter;
  FakeControlApi api;
  UsagePublisher publisher;
  UsageReporter reporter;
  bool is_alive = true;
  /// When the store removes the registration of a killed instance.
  TimePoint expires_at{};
  /// Steps that a frozen instance leaves out.
  int frozen_steps = 0;
};

/// Instances with a common store and API, driven in steps of 100 ms.
class DutyWorld {
 public:
  static constexpr milliseconds kStep{100};
  static constexpr milliseconds kWindow{5000};

  DutyInstance& Start(const std::string& name, milliseconds skew = {}) {
    instances.push_back(
        std::make_unique<DutyInstance>(*this, name, ++starts_, skew));
    return *instances.back();
  }
  /// Returns the live start of an instance, or null.
  DutyInstance* Find(const std::string& name) {
    for (const auto& it : instances) {
      if (it->is_alive && it->fleet.registry.self().name.value() == name) {
        return it.get();
      }
    }
    return nullptr;
  }
  void Kill(DutyInstance& instance) {
    instance.is_alive = false;
    instance.api.is_alive = false;
    instance.expires_at = clock.Now() + seconds(2);
  }
  /// Lets an upstream begin a request of account `a` now.
  void Begin(DutyInstance& instance) {
    instance.counter.RecordStart(accounts::AccountId("a"),
                                 instance.clock.Now());
    ++begun[WindowAt(clock.WallNow(), kWindow)];
  }
  void Run(Duration time) {
    for (Duration spent{0}; spent < time; spent += kStep) Step();
  }
  /// The counts of account `a` by window, as received.
  std::map<UsageWindow, std::uint64_t> Reported() const {
    std::map<UsageWindow, std::uint64_t> counts;
    for (const ReceivedReport& it : received) {
      const auto& by_account = it.report.counts;
      const auto a = by_account.find(accounts::AccountId("a"));
      counts[it.report.window] = a == by_account.end() ? 0 : a->second;
    }
    return counts;
  }

  testing::ManualClock clock;
  testing::AsyncMemoryStore store;
  std::vector<ReceivedReport> received;
  std::vector<std::unique_ptr<DutyInstance>> instances;
  std::map<UsageWindow, std::uint64_t> begun;
  /// Whether messages between instances are lost.
  bool is_network_down = false;
  /// When a holder first wrote to the store.
  std::optional<WallTime> acted_at;

  void Send(const InstanceRecord& peer, const std::string& message,
            UsagePublisher::OnAnswer done) {
    std::optional<std::string> answer;
    DutyInstance* const to = Find(peer.name.value());
    if (to != nullptr && to->frozen_steps == 0 && !is_network_down) {
      answer = to->publisher.OnMessage(message);
    }
    answers_.push_back([done = std::move(done), answer] { done(answer); });
  }

 private:
  void Step() {
    clock.Advance(kStep);
    ++steps_;
    for (const auto& it : instances) {
      if (!it->is_alive && it->expires_at != TimePoint{} &&
          clock.Now() >= it->expires_at) {
        store.ExpireLease(it->fleet.registry.lease());
        it->expires_at = {};
      }
    }
    for (const auto& it : instances) {
      if (!it->is_alive) continue;
      if (it->frozen_steps > 0) {
        --it->frozen_steps;
        continue;
      }
      Step(*it);
    }
    std::deque<std::function<void()>> answers;
    answers.swap(answers_);
    for (const auto& answer : answers) answer();
    if (!acted_at.has_value() &&
        store.items().contains(UsageReporter::kStartKey)) {
      acted_at = clock.WallNow();
    }
  }

  void Step(DutyInstance& it) {
    it.loop.restart();
    it.loop.poll();
    // The pause between two watches is in real time.
    if (IsBehind(it.fleet.registry)) it.fleet.registry.RestartWatch();
    store.Deliver();
    it.fleet.order_lease.Step();
    constexpr int kPublishSteps = 5;
    constexpr int kReportSteps = 2;
    if (steps_ % kPublishSteps == 0) it.publisher.Step();
    if (steps_ % kReportSteps == 0) it.reporter.Step();
    store.Deliver();
    it.api.Deliver();
  }

  bool IsBehind(const InstanceRegistry& registry) const {
    const auto& items = store.items();
    const auto lease = items.find(InstanceRegistry::kOrderLeaseKey);
    const auto& known = registry.order_lease_record();
    if (lease != items.end() &&
        (!known.has_value() || known->index != lease->second.index)) {
      return true;
    }
    const std::string prefix = InstanceRegistry::kInstancePrefix;
    std::size_t n = 0;
    for (auto item = items.lower_bound(prefix);
         item != items.end() && item->first.starts_with(prefix); ++item) {
      ++n;
    }
    return n != registry.instances().size();
  }

  std::deque<std::function<void()>> answers_;
  std::uint64_t starts_ = 0;
  std::uint64_t steps_ = 0;
};

inline DutyInstance::DutyInstance(DutyWorld& world, const std::string& name,
                                  std::uint64_t incarnation, milliseconds skew)
    : clock(world.clock),
      fleet(loop, world.store, clock, name, incarnation),
      true_time(TrueTimeSettings{},
                [&]() -> const Clock& {
                  clock.skew = skew;
                  return clock;
                }()),
      counter(UsageCounterSettings{},
              {InstanceId(name), Incarnation(incarnation)}, true_time, clock),
      api(InstanceId(name), world.received),
      publisher(
          fleet.registry, counter, true_time, clock,
          [&world](const InstanceRecord& peer, const std::string& message,
                   UsagePublisher::OnAnswer done) {
            world.Send(peer, message, std::move(done));
          },
          UsagePublisherSettings{}),
      reporter(world.store, fleet.order_lease, counter, true_time, api, clock,
               UsageReporterSettings{}) {}

}  // namespace briarspread::duties

#endif  // TESTS_DUTIES_DUTY_WORLD_H_
