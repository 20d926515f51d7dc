#ifndef BRIARSPREAD_BATCH_HOME_PLANNER_H_
#define BRIARSPREAD_BATCH_HOME_PLANNER_H_

#include <string>
#include <vector>

#include "briarspread/fleet/instance_record.h"

namespace briarspread::batch {

/// The order in which instances are to run the jobs of one home key, the best
/// first: those of the zone, then of the region, then all others, each by
/// rendezvous hashing. Answers the load in which every instance would run a few
/// jobs of each trainer: the jobs of one trainer meet at one instance, which
/// then knows the load of its engines, keeps few connections to them, and has
/// the text that a later step asks for again. Thread-safe.
std::vector<InstanceRecord> HomeOrder(const std::string& home_key,
                                      const Locality& near,
                                      std::vector<InstanceRecord> instances);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_HOME_PLANNER_H_
