// Jobs at an instance that has not read the configuration, or whose route
// changes. They guard against the failure of review/6 (MIXED): a home without a
// configuration gave items up after one failure instead of `max_attempts`.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_gateway_fixture.h"

namespace briarspread::batch {
namespace {

struct Unconfigured : JobGatewayFixture {
  Unconfigured() : configured(configuration) {
    configuration = forward::ConfigurationHolder();
  }

  /// Puts a configuration into force whose routes are changed by `change`.
  template <typename Change>
  void Configure(std::uint64_t version, const Change& change) {
    auto made = std::make_shared<forward::Configuration>(*configured.current());
    made->version = forward::ConfigurationVersion(version);
    change(made->routes);
    configuration.UpdateIfNewer(made);
  }
  void Configure(std::uint64_t version) {
    Configure(version, [](auto&) {});
  }

  /// Returns an engine's or a reward service's answers: `failures` times 500,
  /// then complete ones.
  FakeUpstream::RespondFunction FailFirst(int failures) {
    return [respond = AnswerWithEvents(2), failures](
               const proxy::Request& request,
               const ResponderPtr& responder) mutable {
      if (failures-- > 0) {
        responder->Send(proxy::MakeResponse(500, "{}"));
      } else {
        respond(request, responder);
      }
    };
  }

  bool IsComplete(std::size_t n) {
    std::optional<ResultPage> page;
    AwaitStore([&] {
      if (!own.Owns(JobId("job"))) return false;
      own.Read(JobId("job"), 0, milliseconds(0), [&](const auto& got) {
        if (IsOk(got) && ValueOf(got).results.size() >= n) page = ValueOf(got);
      });
      return page.has_value();
    });
    return std::all_of(
        page->results.begin(), page->results.end(),
        [](const ItemResult& result) { return result.is_complete; });
  }

  forward::ConfigurationHolder configured;
};

TEST_CASE("an instance without a configuration accepts no job") {
  Unconfigured fixture;
  std::optional<Result<std::monostate>> answer;
  fixture.own.Accept(JobRunnerFixture::Spec(), "key",
                     [&](const auto& got) { answer = got; });
  REQUIRE(answer.has_value());
  REQUIRE(ErrorOf(*answer).verdict == Verdict::kNotRun);
  REQUIRE(fixture.store.items().lower_bound("job") ==
          fixture.store.items().lower_bound("jok"));
}

TEST_CASE("a job is taken over once the configuration is read") {
  Unconfigured fixture;
  FakeUpstream engine(fixture.loop, fixture.FailFirst(1));
  fixture.AddEngine("e", engine);
  const StoredRecord orphan = fixture.AddOrphan(JobRunnerFixture::Spec());
  std::optional<Result<std::monostate>> answer;
  fixture.gateway.OnHandover(orphan, JobHandover{},
                             [&](const auto& got) { answer = got; });
  fixture.AwaitStore([&] { return answer.has_value(); });
  REQUIRE_FALSE(IsOk(*answer));
  REQUIRE_FALSE(fixture.own.Owns(orphan.id));
  fixture.Configure(1);
  fixture.gateway.OnNotice(orphan);
  // The one failure is below the route's limit.
  REQUIRE(fixture.IsComplete(1));
}

TEST_CASE("the limits of a job follow its route") {
  Unconfigured fixture;
  FakeUpstream engine(fixture.loop, fixture.FailFirst(3));
  fixture.Configure(1);
  std::optional<Result<std::monostate>> answer;
  fixture.own.Accept(JobRunnerFixture::Spec(), "key",
                     [&](const auto& got) { answer = got; });
  fixture.AwaitStore([&] { return answer.has_value(); });
  SECTION("it allows more failures") {
    fixture.Configure(2, [](auto& routes) { routes[0].max_attempts = 4; });
  }
  SECTION("it allows more failures after it was gone for a moment") {
    fixture.Configure(2, [](auto& routes) { routes.clear(); });
    fixture.Configure(3, [](auto& routes) { routes[0].max_attempts = 4; });
  }
  const TimePoint reviewed = fixture.clock.Now() + milliseconds(50);
  fixture.AwaitStore([&] { return fixture.clock.Now() >= reviewed; });
  fixture.AddEngine("e", engine);
  REQUIRE(fixture.IsComplete(1));
}

TEST_CASE("a reward call whose route is gone for a moment is repeated") {
  Unconfigured fixture;
  const auto add_route = [](auto& routes) {
    forward::Route route = routes[0];
    route.prefix = "/reward/";
    route.kind = forward::RouteKind::kOnce;
    route.backends = {{ServiceName("rewards"), 1}};
    route.max_attempts = 3;
    routes.push_back(route);
  };
  int calls = 0;
  FakeUpstream rewards(fixture.loop, [&](const proxy::Request&,
                                         const ResponderPtr& responder) {
    ++calls;
    // The route is gone when the first failure arrives.
    if (calls == 1) fixture.Configure(2);
    proxy::Response answer = proxy::MakeResponse(calls == 1 ? 500 : 200, "{}");
    answer.head.headers.Add(fixture.headers.signature, "score");
    responder->Send(answer);
  });
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  forward::DiscoveredUpstream listed;
  listed.id = UpstreamId("w");
  listed.service = ServiceName("rewards");
  listed.endpoint = rewards.endpoint();
  listed.slots = 8;
  fixture.directory.Put(listed);
  fixture.Configure(1, add_route);
  JobSpec spec = JobRunnerFixture::Spec();
  spec.items[0].reward = RewardCall{"reward", "h", "/reward/x", ""};
  fixture.own.Accept(spec, "key", [](const auto&) {});
  const TimePoint gone = fixture.clock.Now() + milliseconds(600);
  fixture.AwaitStore([&] { return fixture.clock.Now() >= gone; });
  REQUIRE(calls == 1);
  fixture.Configure(3, add_route);
  REQUIRE(fixture.IsComplete(1));
}

}  // namespace
}  // namespace briarspread::batch
