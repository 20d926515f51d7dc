// Items whose headers would change how a request is read. They guard against
// the failure of review/10 (UNASKED) on the ways that do not begin with a
// caller's submission.

#include <catch2/catch.hpp>

#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

constexpr char kHidden[] = "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1";

TEST_CASE("headers for one connection and the resume position are left out") {
  JobRunnerFixture fixture;
  proxy::HeaderList seen;
  const auto respond = fixture.AnswerWithEvents(1);
  FakeUpstream engine(fixture.loop, [&](const proxy::Request& request,
                                        const ResponderPtr& responder) {
    seen = request.head.headers;
    REQUIRE(request.body == "body");
    respond(request, responder);
  });
  fixture.AddEngine("e", engine);
  JobSpec spec = JobRunnerFixture::Spec();
  spec.items[0].body = "body";
  spec.items[0].headers = {{"Content-Length", "0"},
                           {"Transfer-Encoding", "chunked"},
                           {"Connection", "X-Named"},
                           {"X-Named", "x"},
                           {"Expect", "100-continue"},
                           {"Last-Event-Id", "7"},
                           {"X-Kept", "x"}};
  REQUIRE(fixture.Accept(spec));
  REQUIRE(fixture.AwaitResults(1).results[0].text == "e1");
  REQUIRE(seen.Find("X-Kept") != nullptr);
  for (const char* name : {"Transfer-Encoding", "Connection", "X-Named",
                           "Expect", "Last-Event-Id"}) {
    INFO(name);
    REQUIRE(seen.Find(name) == nullptr);
  }
}

TEST_CASE("an invalid item of a stored job is given up and the others run") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(1));
  fixture.AddEngine("e", engine);
  JobSpec spec = JobRunnerFixture::Spec(4);
  spec.items[0].headers = {{"X-Note", kHidden}};
  spec.items[1].path = std::string("/p/") + kHidden;
  spec.items[2].reward = RewardCall{"r", kHidden, "/p/r", ""};
  // As an earlier build accepted it.
  JobRecord record;
  record.owner = InstanceId("gone");
  record.total = spec.items.size();
  std::optional<StoredRecord> stored;
  fixture.jobs.Accept(spec, record, [&](const Result<RecordOutcome>& got) {
    stored = StoredRecord{spec.id, record,
                          std::get<RecordWritten>(ValueOf(got)).index};
  });
  fixture.AwaitStore([&] { return stored.has_value(); });
  fixture.runner.Adopt(*stored, JobHandover{}, [](const auto&) {});
  const ResultPage page = fixture.AwaitResults(4);
  REQUIRE(engine.requests.size() == 1);
  for (const ItemResult& result : page.results) {
    REQUIRE(result.is_complete == (result.id == ItemId("i3")));
  }
}

}  // namespace
}  // namespace briarspread::batch
