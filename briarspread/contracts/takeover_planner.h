#ifndef BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_
#define BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_

#include <map>
#include <vector>

#include "briarspread/contracts/home_table.h"

namespace briarspread {

/// What a probe of another instance's address last showed.
enum class ProbeState {
  /// It answered.
  kAlive,
  /// Its address refused the connection: its process is gone.
  kGone,
  /// It has not answered for longer than the takeover right.
  kSilent,
};

/// What is known of one instance.
struct ProbedInstance {
  ProbeState state = ProbeState::kAlive;
  /// The incarnation that answered last.
  Incarnation incarnation;
  /// Whether it said that it is shutting down.
  bool leaving = false;
  /// Its zone.
  ZoneId zone;
};

/// One takeover to try.
struct PlannedTakeover {
  /// The home.
  HomeName home;
  /// Proof that the standby that the log names is gone.
  bool is_standby_dead = false;
  /// Proof that the owner's process is gone, so that the standby may take the
  /// home over without the store.
  bool is_owner_dead = false;
  /// The standby under the new owner.
  InstanceId next_standby;

  friend bool operator==(const PlannedTakeover&,
                         const PlannedTakeover&) = default;
};

/// What an instance plans by.
struct TakeoverView {
  /// The newest table known.
  HomeTable table;
  /// This process, and its zone.
  ProcessId self;
  ZoneId self_zone;
  /// All other listed instances by name.
  std::map<InstanceId, ProbedInstance> others;
};

/// Says which homes this instance should take over now. Its standby takes over
/// a home whose owner is gone, silent or leaving; where the standby is gone as
/// well, the first live instance in the home's rendezvous order does. In quiet
/// times a standby with less than its share takes one home from an owner with
/// more. Which takeover is safe is not decided here: `AtMostOnce` refuses one
/// that is not. Thread-safe.
std::vector<PlannedTakeover> PlanTakeovers(const TakeoverView& view);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_
