#ifndef BRIARSPREAD_FLEET_HOME_ORDER_H_
#define BRIARSPREAD_FLEET_HOME_ORDER_H_

#include <string>
#include <vector>

#include "briarspread/fleet/instance_record.h"

namespace briarspread {

/// Returns the instances in the order in which they should be the home of a
/// key, best first: those in the zone of `near`, then those in its region, then
/// all others; within each class by rendezvous hashing. Instances that know the
/// same instances choose the same home. Thread-safe.
std::vector<InstanceRecord> HomeOrder(const std::string& home_key,
                                      const Locality& near,
                                      std::vector<InstanceRecord> instances);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_HOME_ORDER_H_
