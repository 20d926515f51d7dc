#ifndef BRIARSPREAD_BATCH_HOME_ORDER_H_
#define BRIARSPREAD_BATCH_HOME_ORDER_H_

#include <string>
#include <vector>

#include "briarspread/fleet/instance_record.h"

namespace briarspread::batch {

/// Returns the instances in the order in which they should run the jobs of a
/// home key, best first: those in the zone of `near`, then those in its region,
/// then all others; within each class by rendezvous hashing. As a result all
/// jobs of one trainer run on the same instance, instead of a few on each
/// instance. That instance then knows the load of the trainer's engines, needs
/// few connections to them, and has cached the text that a later step requests
/// again. Thread-safe.
std::vector<InstanceRecord> HomeOrder(const std::string& home_key,
                                      const Locality& near,
                                      std::vector<InstanceRecord> instances);

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_HOME_ORDER_H_
