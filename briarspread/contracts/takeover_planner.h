#ifndef BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_
#define BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_

#include <map>
#include <vector>

#include "briarspread/contracts/home_table.h"

namespace briarspread {

/// Result of the probes of another instance's address.
enum class ProbeState {
  /// The instance responded.
  kAlive,
  /// The address refused the connection, or the instance has not been listed
  /// for some time. Its process is considered to have ended.
  kDead,
  /// The instance has not responded for longer than the takeover lease.
  kUnresponsive,
};

/// State of one instance as known from probes.
struct ProbedInstance {
  ProbeState state = ProbeState::kAlive;
  /// The incarnation that responded last.
  Incarnation incarnation;
  /// Whether the instance has announced that it is shutting down.
  bool leaving = false;
  /// The instance's availability zone.
  ZoneId zone;
};

/// A takeover to attempt.
struct PlannedTakeover {
  HomeName home;
  /// Whether it is proved that the standby's process has ended.
  bool is_standby_dead = false;
  /// Whether it is proved that the owner's process has ended, so that the
  /// standby may take the home over without the store.
  bool is_owner_dead = false;
  /// The standby after the takeover.
  InstanceId next_standby;

  friend bool operator==(const PlannedTakeover&,
                         const PlannedTakeover&) = default;
};

/// The input of `PlanTakeovers`: the state of the fleet as known to one
/// instance.
struct TakeoverView {
  /// The newest known table.
  HomeTable table;
  /// This process.
  ProcessId self;
  /// The availability zone of this process.
  ZoneId self_zone;
  /// All other listed instances that have been probed, by name.
  std::map<InstanceId, ProbedInstance> others;
};

/// Returns the homes that this instance should try to take over now. A home
/// whose owner has ended, does not respond or is shutting down is taken over by
/// its standby or, if the standby is not live either, by the first live
/// instance in the home's rendezvous order. If there is no such home, a standby
/// that owns fewer homes than its share takes one home over from an owner that
/// has more. Does not check whether a takeover is safe: `AtMostOnce` refuses
/// unsafe ones.
/// Thread-safe.
std::vector<PlannedTakeover> PlanTakeovers(const TakeoverView& view);

}  // namespace briarspread

#endif  // BRIARSPREAD_CONTRACTS_TAKEOVER_PLANNER_H_
