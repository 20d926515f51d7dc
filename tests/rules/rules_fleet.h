#ifndef TESTS_RULES_RULES_FLEET_H_
#define TESTS_RULES_RULES_FLEET_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/rules/rule_sync.h"
#include "tests/rules/hooked_store.h"
#include "tests/support/manual_clock.h"
#include "tests/support/memory_store.h"

namespace briarspread::testing {

/// Records the revisions that come into force on one instance.
class RecordingSink final : public RuleSink {
 public:
  void Publish(RuleSet rules) override {
    if (rules.revision < last) ++reversals;
    last = rules.revision;
    ++published;
  }

  /// The last published revision.
  Revision last{0};
  /// Number of revisions lower than their predecessor.
  int reversals = 0;
  /// Number of published revisions.
  int published = 0;
};

/// One simulated instance; hooks on its store affect no other instance.
struct FleetInstance {
  FleetInstance(const RuleDistributorSettings& settings, KeyValueStore& memory,
                PeerRules& peers, const Clock& clock, RandomSource& random)
      : hooked(memory),
        store(RuleStoreSettings{}, hooked, clock),
        distributor(settings, sink, clock, random),
        sync(distributor, store, peers) {}

  HookedStore hooked;
  RuleStore store;
  RecordingSink sink;
  RuleDistributor distributor;
  RuleSync sync;
  /// Time of the next action on the store.
  TimePoint next_store_action{};
  /// Time of the next action on peers.
  TimePoint next_peer_action{};
  /// End of the current pause; no action before.
  TimePoint paused_until{};
};

/// Simulates the rules synchronisation of a fleet with one store, by a manual
/// clock.
class RulesFleet final : public PeerRules {
 public:
  RulesFleet(int size, RuleDistributorSettings settings)
      : settings_(std::move(settings)) {
    for (int i = 0; i < size; ++i) instances.push_back(MakeInstance(i));
    UpdateMembers();
  }

  Result<RuleText> Fetch(const InstanceId& peer, Revision /*above*/) override {
    if (stale_offer.has_value()) return *stale_offer;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      if (Name(i) != peer) continue;
      if (instances[i]->paused_until > clock.Now()) break;
      return instances[i]->distributor.InForce();
    }
    return Error{ErrorCode::kUnavailable, Verdict::kNotRun, "no answer"};
  }

  /// Advances the time by `time` in ticks and performs the due actions of all
  /// instances that are not paused.
  void Run(milliseconds time) {
    for (milliseconds run{0}; run < time; run += kTick) {
      clock.Advance(kTick);
      for (auto& instance : instances) RunDueActions(*instance);
    }
  }

  /// Delivers to each instance the announcement of one instance chosen at
  /// random. Paused instances neither send nor receive.
  void ExchangeDigests() {
    for (auto& instance : instances) {
      if (instance->paused_until > clock.Now()) continue;
      const std::size_t i = random.Below(instances.size());
      if (instances[i]->paused_until > clock.Now()) continue;
      const Revision revision = instances[i]->distributor.InForce().revision;
      if (instance->distributor.OnAnnouncement(Name(i), revision)) {
        instance->next_peer_action = clock.Now();
      }
    }
  }

  /// Replaces an instance by a new one without rules.
  void Replace(std::size_t i) {
    reversals_of_replaced_ += instances[i]->sink.reversals;
    instances[i] = MakeInstance(i);
    UpdateMembers();
  }

  /// Returns the lowest revision in force on any instance.
  Revision LowestRevision() const {
    Revision lowest = instances[0]->distributor.InForce().revision;
    for (const auto& instance : instances) {
      lowest = std::min(lowest, instance->distributor.InForce().revision);
    }
    return lowest;
  }

  /// Returns how often any instance went back to a lower revision.
  int CountReversals() const {
    int reversals = reversals_of_replaced_;
    for (const auto& instance : instances) {
      reversals += instance->sink.reversals;
    }
    return reversals;
  }

  static InstanceId Name(std::size_t i) {
    return InstanceId("entry-" + std::to_string(i));
  }

  ManualClock clock;
  SeededRandom random{20261204};
  MemoryStore memory;
  std::vector<std::unique_ptr<FleetInstance>> instances;
  /// If set, peers return this text instead of their rules.
  std::optional<RuleText> stale_offer;

 private:
  static constexpr milliseconds kTick{100};
  static constexpr int kMaxSteps = 4;
  static constexpr std::size_t kInstancesPerZone = 20;

  static ZoneId Zone(std::size_t i) {
    return ZoneId("zone-" + std::to_string(i / kInstancesPerZone));
  }

  std::unique_ptr<FleetInstance> MakeInstance(std::size_t i) {
    RuleDistributorSettings settings = settings_;
    settings.self = Name(i);
    settings.zone = Zone(i);
    return std::make_unique<FleetInstance>(settings, memory, *this, clock,
                                           random);
  }

  void UpdateMembers() {
    std::vector<RuleMember> members;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      members.push_back({Name(i), Zone(i)});
    }
    for (auto& instance : instances) instance->distributor.OnMembers(members);
  }

  void RunDueActions(FleetInstance& instance) {
    if (instance.paused_until > clock.Now()) return;
    for (int i = 0; i < kMaxSteps && instance.next_store_action <= clock.Now();
         ++i) {
      instance.next_store_action = clock.Now() + instance.sync.StepStore();
    }
    for (int i = 0; i < kMaxSteps && instance.next_peer_action <= clock.Now();
         ++i) {
      instance.next_peer_action = clock.Now() + instance.sync.StepPeers();
    }
  }

  const RuleDistributorSettings settings_;
  int reversals_of_replaced_ = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_RULES_RULES_FLEET_H_
