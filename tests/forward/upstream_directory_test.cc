#include "briarspread/forward/upstream_directory.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/support/manual_clock.h"

namespace briarspread::forward {
namespace {

struct DirectoryFixture {
  static DiscoveredUpstream Listed(const std::string& id,
                                   const std::string& service) {
    DiscoveredUpstream listed;
    listed.id = UpstreamId(id);
    listed.service = ServiceName(service);
    listed.start_id = 1;
    return listed;
  }
  /// Lists `count` upstreams of service `s`.
  explicit DirectoryFixture(int count) {
    for (int i = 0; i < count; ++i) {
      directory.Put(Listed("u" + std::to_string(i), "s"));
    }
    directory.table();
  }
  void Fail(const std::string& id) {
    for (int i = 0; i < 9; ++i) directory.RecordFailure(UpstreamId(id));
  }
  bool IsOpen(const std::string& id) {
    return directory.Find(UpstreamId(id))->breaker->is_open();
  }
  std::size_t CountOf(const std::string& service) {
    std::size_t n = 0;
    for (const UpstreamView& it : directory.table().upstreams) {
      if (it.listed.serves == service) ++n;
    }
    return n;
  }

  briarspread::testing::ManualClock clock;
  UpstreamDirectory directory{UpstreamDirectorySettings{}, Locality{}, clock};
};

// Guards against review/11: an entry of another writer that gave a known
// upstream a service never seen before ended all instances.
TEST_CASE("a known upstream may change to a service that is not known") {
  DirectoryFixture fixture(2);
  fixture.directory.Put(DirectoryFixture::Listed("u0", "unheard-of"));
  REQUIRE(fixture.CountOf("s") == 1);
  REQUIRE(fixture.CountOf("unheard-of") == 1);
  // The upstream's own entry takes its place again.
  fixture.directory.Put(DirectoryFixture::Listed("u0", "s"));
  REQUIRE(fixture.CountOf("s") == 2);
}

TEST_CASE("the limit on open breakers is that of the service of now") {
  DirectoryFixture fixture(4);
  for (const char* id : {"u0", "u1", "u2"}) fixture.Fail(id);
  REQUIRE(fixture.IsOpen("u0"));
  REQUIRE(fixture.IsOpen("u1"));
  REQUIRE_FALSE(fixture.IsOpen("u2"));
  // What an upstream took of the limit comes back when it leaves the service.
  fixture.directory.Put(DirectoryFixture::Listed("u0", "other"));
  fixture.directory.Put(DirectoryFixture::Listed("u1", "other"));
  REQUIRE_FALSE(fixture.IsOpen("u0"));
  fixture.directory.table();
  fixture.Fail("u2");
  REQUIRE(fixture.IsOpen("u2"));
  fixture.Fail("u3");
  REQUIRE_FALSE(fixture.IsOpen("u3"));
}

TEST_CASE("a service whose upstreams are all gone may come back") {
  DirectoryFixture fixture(2);
  fixture.directory.ReplaceAll({DirectoryFixture::Listed("u0", "other"),
                                DirectoryFixture::Listed("u1", "other")});
  REQUIRE(fixture.CountOf("s") == 0);
  fixture.directory.ReplaceAll({DirectoryFixture::Listed("u0", "s"),
                                DirectoryFixture::Listed("u1", "s")});
  REQUIRE(fixture.CountOf("s") == 2);
  fixture.Fail("u0");
  REQUIRE(fixture.IsOpen("u0"));
}

}  // namespace
}  // namespace briarspread::forward
