#include "bench/rules_bench/fleet_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/rules/rule_distributor.h"

namespace briarspread::bench {
namespace {

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

/// A clock that the model advances.
class SimulatedClock final : public Clock {
 public:
  TimePoint Now() const override { return now; }
  WallTime WallNow() const override { return WallTime{}; }

  /// Starts above zero, so that earlier times can be represented.
  TimePoint now{std::chrono::hours(1)};
};

/// Observes the revisions that come into force on one instance.
class CountingSink final : public RuleSink {
 public:
  explicit CountingSink(std::function<void(Revision)> on_revision)
      : on_revision_(std::move(on_revision)) {}

  void Publish(RuleSet rules) override {
    if (rules.revision < last_) ++reversals;
    last_ = rules.revision;
    on_revision_(last_);
  }

  /// Number of revisions lower than their predecessor.
  int reversals = 0;

 private:
  /// Called with each revision that comes into force.
  const std::function<void(Revision)> on_revision_;
  /// The last revision.
  Revision last_{0};
};

/// One simulated entry instance.
struct Node {
  std::unique_ptr<CountingSink> sink;
  std::unique_ptr<RuleDistributor> distributor;
  /// Whether a call to the store is in flight.
  bool is_calling_store = false;
  /// Whether a call to a peer is in flight.
  bool is_calling_peer = false;
  /// Number of the last scheduled wake-up for peers; earlier wake-ups are stale
  /// and do nothing.
  std::uint64_t last_wake_id = 0;
};

/// A watch that waits at the store for a change.
struct PendingWatch {
  std::size_t node = 0;
  std::uint64_t id = 0;
};

/// Discrete-event simulation of a fleet. For one run.
class FleetModel {
 public:
  explicit FleetModel(const FleetModelSettings& settings)
      : settings_(settings), random_(settings.seed) {}

  FleetModelResult Run() {
    MakeNodes();
    AcceptChange();
    const TimePoint start = clock_.now + seconds(10);
    RunUntil(start);
    const std::uint64_t before_idle = calls_;
    RunUntil(start + settings_.idle_time);
    const std::uint64_t idle_calls = calls_ - before_idle;
    const std::uint64_t before_changes = calls_;
    counting_seconds_ = true;
    times_ms_.clear();  // The first revision came while instances started.
    for (int i = 0; i < settings_.changes; ++i) {
      AcceptChange();
      RunUntil(clock_.now + settings_.change_interval);
    }
    const std::uint64_t change_calls = calls_ - before_changes;
    RunUntil(clock_.now + seconds(60));
    return MakeResult(idle_calls, change_calls);
  }

 private:
  using Action = std::function<void()>;
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    Action action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  int ZoneOf(std::size_t node) const {
    return static_cast<int>(node) % settings_.zones;
  }
  int RegionOf(std::size_t node) const {
    return ZoneOf(node) % settings_.regions;
  }
  Duration DelayToStore(std::size_t node) const {
    return RegionOf(node) == 0 ? settings_.within_region_delay
                               : settings_.between_regions_delay;
  }
  Duration DelayBetween(std::size_t a, std::size_t b) const {
    return RegionOf(a) == RegionOf(b) ? settings_.within_region_delay
                                      : settings_.between_regions_delay;
  }
  InstanceId NameOf(std::size_t node) const {
    return InstanceId("entry-" + std::to_string(node));
  }

  void ScheduleAt(TimePoint at, Action action) {
    events_.push({at, ++order_, std::move(action)});
  }
  void ScheduleAfter(Duration wait, Action action) {
    ScheduleAt(clock_.now + wait, std::move(action));
  }

  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      clock_.now = event.at;
      event.action();
    }
    clock_.now = end;
  }

  void MakeNodes() {
    std::vector<RuleMember> members;
    const auto count = static_cast<std::size_t>(settings_.instances);
    for (std::size_t i = 0; i < count; ++i) {
      members.push_back(
          {NameOf(i), ZoneId("zone-" + std::to_string(ZoneOf(i)))});
    }
    nodes_.resize(count);
    in_force_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      RuleDistributorSettings settings;
      settings.self = members[i].instance;
      settings.zone = members[i].zone;
      Node& node = nodes_[i];
      node.sink = std::make_unique<CountingSink>(
          [this, i](Revision revision) { OnRevision(i, revision); });
      node.distributor = std::make_unique<RuleDistributor>(settings, *node.sink,
                                                           clock_, random_);
      node.distributor->OnMembers(members);
      ScheduleAfter(milliseconds(random_.Below(1000)), [this, i] {
        ActOnStore(i);
        ActOnPeers(i);
      });
      ScheduleAfter(milliseconds(random_.Below(static_cast<std::uint64_t>(
                        settings_.digest_interval.count()))),
                    [this, i] { SendDigest(i); });
    }
  }

  /// Accepts an operator's change and completes the pending watches, except
  /// those whose event is dropped.
  void AcceptChange() {
    revision_ = Revision(revision_.value() + 1);
    accepted_at_[revision_] = clock_.now;
    const bool outage = settings_.outage > milliseconds(0);
    if (outage) out_until_ = clock_.now + settings_.outage;
    std::vector<PendingWatch> kept;
    bool is_delivered = false;
    for (const PendingWatch& watch : std::exchange(watches_, {})) {
      if (outage && is_delivered) {
        FailStoreCall(watch.node);
      } else if (random_.Fraction() < settings_.dropped_events) {
        kept.push_back(watch);
      } else {
        AnswerStore(watch.node);
        is_delivered = true;
      }
    }
    watches_ = std::move(kept);
  }

  /// Records the revision that came into force on an instance, and the time of
  /// each change that is now in force on all instances.
  void OnRevision(std::size_t i, Revision revision) {
    in_force_[i] = revision;
    for (int n = 0; n < settings_.announce_count; ++n) Announce(i, revision);
    const Revision lowest =
        *std::min_element(in_force_.begin(), in_force_.end());
    while (!accepted_at_.empty() && accepted_at_.begin()->first <= lowest) {
      const Duration elapsed = clock_.now - accepted_at_.begin()->second;
      times_ms_.push_back(static_cast<double>(elapsed.count()) / 1e6);
      accepted_at_.erase(accepted_at_.begin());
    }
  }

  void ActOnStore(std::size_t i) {
    Node& node = nodes_[i];
    if (node.is_calling_store) return;
    const RuleAction action = node.distributor->NextStoreAction();
    if (action.kind == RuleAction::Kind::kWait) {
      ScheduleAfter(std::max(action.wait, milliseconds(1)),
                    [this, i] { ActOnStore(i); });
      return;
    }
    node.is_calling_store = true;
    CountCall();
    const bool watch = action.kind == RuleAction::Kind::kWatchStore;
    ScheduleAfter(DelayToStore(i), [this, i, watch, wait = action.wait] {
      HandleStoreCall(i, watch, wait);
    });
  }

  void ActOnPeers(std::size_t i) {
    Node& node = nodes_[i];
    if (node.is_calling_peer) return;
    const RuleAction action = node.distributor->NextPeerAction();
    const std::uint64_t wake = ++node.last_wake_id;
    if (action.kind == RuleAction::Kind::kAskPeer) {
      node.is_calling_peer = true;
      AskPeer(i, action.peer);
      return;
    }
    ScheduleAfter(std::max(action.wait, milliseconds(1)), [this, i, wake] {
      if (nodes_[i].last_wake_id == wake) ActOnPeers(i);
    });
  }

  void CountCall() {
    ++calls_;
    if (!counting_seconds_) return;
    const auto second =
        std::chrono::duration_cast<seconds>(clock_.now.time_since_epoch())
            .count();
    max_calls_ = std::max(max_calls_, ++calls_in_second_[second]);
  }

  void HandleStoreCall(std::size_t i, bool watch, milliseconds wait) {
    if (clock_.now < out_until_) {
      FailStoreCall(i);
      return;
    }
    const StoreIndex known = nodes_[i].distributor->KnownRules().index;
    if (!watch || known.value() < revision_.value()) {
      AnswerStore(i);
      return;
    }
    const std::uint64_t id = ++watch_ids_;
    watches_.push_back({i, id});
    ScheduleAfter(wait, [this, i, id] {
      const auto erased = std::erase_if(
          watches_, [&](const PendingWatch& w) { return w.id == id; });
      if (erased > 0) AnswerStore(i);
    });
  }

  void AnswerStore(std::size_t i) {
    const StoredRules answer{TextOf(revision_), StoreIndex(revision_.value())};
    ScheduleAfter(settings_.store_delay + DelayToStore(i), [this, i, answer] {
      nodes_[i].distributor->OnStoreAnswer(answer);
      EndStoreCall(i);
    });
  }

  void FailStoreCall(std::size_t i) {
    ScheduleAfter(settings_.call_timeout, [this, i] {
      nodes_[i].distributor->OnStoreAnswer(
          Error{ErrorCode::kUnavailable, Verdict::kNotRun, "no answer"});
      EndStoreCall(i);
    });
  }

  void EndStoreCall(std::size_t i) {
    nodes_[i].is_calling_store = false;
    ActOnStore(i);
    ActOnPeers(i);
  }

  void AskPeer(std::size_t i, const InstanceId& peer) {
    const std::size_t k = IndexOf(peer);
    ScheduleAfter(DelayBetween(i, k), [this, i, k] {
      const RuleText answer = nodes_[k].distributor->InForce();
      ScheduleAfter(DelayBetween(i, k), [this, i, k, answer] {
        nodes_[i].distributor->OnPeerAnswer(NameOf(k), answer);
        nodes_[i].is_calling_peer = false;
        ActOnPeers(i);
      });
    });
  }

  void SendDigest(std::size_t i) {
    Announce(i, nodes_[i].distributor->InForce().revision);
    ScheduleAfter(settings_.digest_interval, [this, i] { SendDigest(i); });
  }

  /// Announces the revision in force on `i` to an instance chosen at random.
  void Announce(std::size_t i, Revision revision) {
    const std::size_t k = random_.Below(nodes_.size());
    ScheduleAfter(DelayBetween(i, k), [this, i, k, revision] {
      if (nodes_[k].distributor->OnAnnouncement(NameOf(i), revision)) {
        ActOnPeers(k);
      }
    });
  }

  static RuleText TextOf(Revision revision) {
    return {revision,
            "queue length=" + std::to_string(revision.value()) + " # bench\n"};
  }

  static std::size_t IndexOf(const InstanceId& name) {
    return std::stoul(name.value().substr(name.value().find('-') + 1));
  }

  FleetModelResult MakeResult(std::uint64_t idle_calls,
                              std::uint64_t change_calls) {
    FleetModelResult result;
    for (const Node& node : nodes_) {
      result.watchers += node.distributor->IsWatcher() ? 1 : 0;
      result.reversals += node.sink->reversals;
    }
    std::sort(times_ms_.begin(), times_ms_.end());
    const auto quantile = [&](double q) {
      if (times_ms_.empty()) return 0.0;
      const auto last = static_cast<double>(times_ms_.size() - 1);
      return times_ms_[static_cast<std::size_t>(q * last)];
    };
    result.p50_ms = quantile(kMedian);
    result.p99_ms = quantile(kP99);
    result.max_ms = quantile(1);
    result.unfinished = static_cast<int>(accepted_at_.size());
    const double idle_minutes =
        std::chrono::duration<double>(settings_.idle_time).count() / 60;
    result.calls_per_idle_minute =
        static_cast<double>(idle_calls) / idle_minutes;
    const double change_minutes =
        std::chrono::duration<double>(settings_.change_interval).count() / 60 *
        settings_.changes;
    // During an outage, idle watches are replaced by less frequent retries, so
    // the calls that a change adds cannot be computed.
    if (settings_.outage == milliseconds(0)) {
      const double idle = result.calls_per_idle_minute * change_minutes;
      result.calls_per_change =
          (static_cast<double>(change_calls) - idle) / settings_.changes;
    }
    result.calls_per_second =
        static_cast<double>(change_calls) / (change_minutes * 60);
    result.most_calls_in_a_second = max_calls_;
    return result;
  }

  const FleetModelSettings settings_;
  /// The simulated time.
  SimulatedClock clock_;
  /// Random source seeded by the settings.
  SeededRandom random_;
  /// The instances.
  std::vector<Node> nodes_;
  /// Scheduled events, ordered by time.
  std::priority_queue<Event> events_;
  /// Number of the last event; orders events of the same time.
  std::uint64_t order_ = 0;
  /// The last accepted revision; the store index has the same value.
  Revision revision_{0};
  /// Acceptance times of the revisions not yet in force on all instances.
  std::map<Revision, TimePoint> accepted_at_;
  /// The revision in force on each instance.
  std::vector<Revision> in_force_;
  /// Times from acceptance to in force on all instances, in milliseconds.
  std::vector<double> times_ms_;
  /// Watches that wait at the store for a change.
  std::vector<PendingWatch> watches_;
  /// End of the current outage of the store.
  TimePoint out_until_{};
  /// Id of the last watch.
  std::uint64_t watch_ids_ = 0;
  /// Number of store calls so far.
  std::uint64_t calls_ = 0;
  /// Whether store calls per second are counted.
  bool counting_seconds_ = false;
  /// Number of store calls in each second.
  std::map<std::int64_t, std::uint64_t> calls_in_second_;
  /// Maximum number of store calls in any second.
  std::uint64_t max_calls_ = 0;
};

}  // namespace

FleetModelResult RunFleetModel(const FleetModelSettings& settings) {
  return FleetModel(settings).Run();
}

}  // namespace briarspread::bench
