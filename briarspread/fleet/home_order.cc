#include "briarspread/fleet/home_order.h"

#include <algorithm>
#include <tuple>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

int DistanceOf(const Locality& near, const Locality& other) {
  if (other.zone == near.zone) return 0;
  return other.region == near.region ? 1 : 2;
}

}  // namespace

std::vector<InstanceRecord> HomeOrder(const std::string& home_key,
                                      const Locality& near,
                                      std::vector<InstanceRecord> instances) {
  const auto rank = [&](const InstanceRecord& instance) {
    const std::uint64_t weight =
        StableHash(instance.name.value(), StableHash(home_key));
    return std::make_tuple(DistanceOf(near, instance.locality), ~weight);
  };
  std::sort(instances.begin(), instances.end(),
            [&](const InstanceRecord& a, const InstanceRecord& b) {
              return rank(a) < rank(b);
            });
  return instances;
}

}  // namespace briarspread
