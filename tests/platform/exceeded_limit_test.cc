#include <catch2/catch.hpp>
#include <vector>

#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

/// Sends `n` requests at once, in turn to each instance, and returns the
/// responses.
std::vector<proxy::Response> CallAtOnce(
    EdgeFixture& fixture, const std::vector<ReadyInstance*>& instances, int n) {
  std::vector<proxy::Response> responses;
  for (int i = 0; i < n; ++i) {
    const ReadyInstance& to = *instances[i % instances.size()];
    proxy::RequestHead head;
    head.method = "POST";
    head.target = "/plain/x";
    head.headers.Add("Host", "h");
    head.headers.Add("X-Attempt-Id", "burst-" + std::to_string(i));
    proxy::ExchangeRequest request;
    request.to = *to.settings.frontend;
    request.bytes = proxy::RequestBytes::Make(head, "");
    proxy::StartCall(fixture.pool, std::move(request),
                     [&responses](const proxy::CallResult& result) {
                       responses.push_back(std::get<proxy::Response>(result));
                     });
  }
  fixture.Await(
      [&] { return responses.size() == static_cast<std::size_t>(n); });
  return responses;
}

// Guards against the failure of 2026-12-04: a replica that named its limit got
// all that came.
TEST_CASE("instances together do not exceed the limit that a replica names") {
  constexpr int kRequests = 100;
  constexpr int kLimit = 2;
  // Allowed in 4 s, as the users define it.
  constexpr int kMaxInFourSeconds = kLimit * 4 * 3 / 2 + 5;
  EdgeFixture fixture;
  fixture.replica.limit = std::to_string(kLimit);
  ReadyInstance one(fixture, fixture.Settings("one"));
  ReadyInstance two(fixture, fixture.Settings("two"));
  for (const ReadyInstance* instance : {&one, &two}) {
    fixture.Call(*instance->settings.frontend, "POST", "/plain/x");
  }
  const int before = fixture.replica.requests;
  int answered = 0;
  for (const auto& response : CallAtOnce(fixture, {&one, &two}, kRequests)) {
    answered += response.head.status == 200;
    if (response.head.status == 200) continue;
    // What the limit turns down has not run, and is told when to come back.
    REQUIRE(response.head.status == 503);
    REQUIRE(response.head.headers.Find("Retry-After") != nullptr);
  }
  REQUIRE(fixture.replica.requests - before == answered);
  REQUIRE(answered <= kMaxInFourSeconds);
}

}  // namespace
}  // namespace briarspread::platform
