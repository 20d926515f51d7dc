#ifndef BRIARSPREAD_FLEET_WATCH_DELEGATES_H_
#define BRIARSPREAD_FLEET_WATCH_DELEGATES_H_

#include <map>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/instance_record.h"

namespace briarspread {

/// Returns the peer endpoints of the region's delegates that come before `self`
/// in the rendezvous order, at most two: the instances that `self` asks instead
/// of watching the store. Empty if `self` is the first delegate. Instances that
/// know the same instances choose the same delegates, and only the first one
/// watches the store while it answers. Leaving instances are not chosen.
/// Thread-safe.
std::vector<Endpoint> ChooseWatchDelegates(
    const std::map<InstanceId, InstanceRecord>& instances,
    const RegionId& region, const InstanceId& self);

/// Returns up to two of the configured seed peers without `self`, in random
/// order: whom an instance that has just started asks for its lists, before it
/// knows the delegates. Random, so that one seed does not serve all starts.
/// Thread-safe if `random` is.
std::vector<Endpoint> ChooseStartPeers(std::vector<Endpoint> seeds,
                                       const Endpoint& self,
                                       RandomSource& random);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_WATCH_DELEGATES_H_
