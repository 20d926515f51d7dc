#include "bench/routing_bench/fleet.h"

#include <string>

namespace briarspread::bench {

std::string ModelName(int i) { return "model-" + std::to_string(i); }

Locality LocalityOf(int i, const FleetSize& size) {
  const int zone = i % size.zones;
  const int region = zone % size.regions;
  return {RegionId("region-" + std::to_string(region)),
          ZoneId("zone-" + std::to_string(zone))};
}

std::vector<ListedInstance> MakeReplicas(const FleetSize& size) {
  std::vector<ListedInstance> replicas;
  replicas.reserve(static_cast<std::size_t>(size.replicas));
  for (int i = 0; i < size.replicas; ++i) {
    ListedInstance listed;
    listed.name = "model-engine-replica-" + std::to_string(i);
    listed.kind = InstanceKind::kModelEngine;
    listed.serves = ModelName((i / size.zones) % size.models);
    listed.locality = LocalityOf(i, size);
    replicas.push_back(listed);
  }
  return replicas;
}

std::vector<PlannedInstance> MakeInstances(const FleetSize& size) {
  std::vector<PlannedInstance> instances;
  instances.reserve(static_cast<std::size_t>(size.instances));
  for (int i = 0; i < size.instances; ++i) {
    instances.push_back({InstanceId("entry-instance-" + std::to_string(i)),
                         LocalityOf(i, size)});
  }
  return instances;
}

}  // namespace briarspread::bench
