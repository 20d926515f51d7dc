#ifndef BRIARSPREAD_FLEET_WATCH_DELEGATES_H_
#define BRIARSPREAD_FLEET_WATCH_DELEGATES_H_

#include <map>
#include <vector>

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

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_WATCH_DELEGATES_H_
