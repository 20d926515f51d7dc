#include "briarspread/fleet/home_order.h"

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

InstanceRecord Instance(const std::string& name, const std::string& zone,
                        const std::string& region) {
  InstanceRecord record;
  record.name = InstanceId(name);
  record.locality = Locality{RegionId(region), ZoneId(zone)};
  return record;
}

TEST_CASE("the home order prefers the own zone, then the own region") {
  const std::vector<InstanceRecord> all = {
      Instance("a1", "a", "r"), Instance("a2", "a", "r"),
      Instance("b1", "b", "r"), Instance("c1", "c", "q")};
  const Locality near{RegionId("r"), ZoneId("a")};
  const auto order = HomeOrder("key", near, all);
  REQUIRE(order[0].locality.zone == ZoneId("a"));
  REQUIRE(order[1].locality.zone == ZoneId("a"));
  REQUIRE(order[2].name == InstanceId("b1"));
  REQUIRE(order[3].name == InstanceId("c1"));
  // Without the home, the next instance in the order becomes the home.
  auto fewer = all;
  std::erase_if(fewer,
                [&](const auto& each) { return each.name == order[0].name; });
  REQUIRE(HomeOrder("key", near, fewer)[0].name == order[1].name);
}

}  // namespace
}  // namespace briarspread
