// Runs whose response announces an outcome and is then cut or held.

#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <vector>

#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

JobRunnerSettings ImpatientSettings() {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.min_stall_timeout = milliseconds(20);
  return settings;
}

// Guards against the failure of review/2 (LOST): the process of a job's owner
// ended by an assertion, with all requests in flight there.
TEST_CASE("a run whose failure response is held ends its item once") {
  for (const int status : {422, 500}) {
    JobRunnerFixture fixture(ImpatientSettings());
    FakeUpstream engine(fixture.loop, [&](const proxy::Request&,
                                          const ResponderPtr& responder) {
      responder->Start(fixture.EngineHead(status));
      responder->Write("{\"error\":");
    });
    fixture.AddEngine("a", engine);
    fixture.AddEngine("b", engine);
    REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
    REQUIRE_FALSE(fixture.AwaitResults(1).results[0].is_complete);
    REQUIRE(engine.requests.size() == (status == 422 ? 1 : 2));
  }
}

// Guards against a part of a report of other operators: after a text had begun,
// an answer that is no stream ended it as if it were complete.
TEST_CASE("a resumed text is not completed by a body that is no stream") {
  JobRunnerFixture fixture;
  FakeUpstream breaks(fixture.loop, fixture.AnswerWithEvents(2, true));
  FakeUpstream other(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Send(forward::SignedResponse(fixture.headers, 200, ""));
      });
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(4));
  fixture.AddEngine("breaks", breaks);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  // The second run resumes the text.
  fixture.AwaitStore([&] { return breaks.requests.size() >= 2; });
  fixture.AddEngine("other", other);
  fixture.directory.Remove({UpstreamId("breaks")});
  fixture.AwaitStore([&] { return !other.requests.empty(); });
  fixture.AddEngine("sound", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].text == "e1\ne2\ne3\ne4");
}

/// An engine that answers each run as drawn; without draws left, soundly.
class DrawnEngine {
 public:
  DrawnEngine(JobRunnerFixture& fixture,
              std::vector<std::array<std::uint8_t, 2>> draws)
      : fixture_(fixture),
        draws_(std::move(draws)),
        sound_(fixture.AnswerWithEvents(3)),
        upstream_(fixture.loop, [this](const proxy::Request& request,
                                       const ResponderPtr& responder) {
          Respond(request, responder);
        }) {}

  const FakeUpstream& upstream() const { return upstream_; }

 private:
  void Respond(const proxy::Request& request, const ResponderPtr& responder) {
    constexpr std::array kStatuses = {200, 200, 421, 422, 500, 503};
    if (next_ == draws_.size()) {
      sound_(request, responder);
      return;
    }
    const auto [status, end] = draws_[next_++];
    responder->Start(fixture_.EngineHead(kStatuses[status % kStatuses.size()]));
    responder->Write("id: 1\ndata: e1\n\nid: 2\nda");
    if (end % 3 == 0) responder->End();
    if (end % 3 == 1) responder->Abort();
    // Else the connection is held until the run is ended from here.
  }

  JobRunnerFixture& fixture_;
  const std::vector<std::array<std::uint8_t, 2>> draws_;
  std::size_t next_ = 0;
  FakeUpstream::RespondFunction sound_;
  FakeUpstream upstream_;
};

TEST_CASE("runs that end in any way") {
  rc::prop("each item is listed once, with its whole text or as given up",
           [](const std::vector<std::array<std::uint8_t, 2>>& draws) {
             JobRunnerFixture fixture(ImpatientSettings());
             DrawnEngine engine(fixture, draws);
             fixture.AddEngine("a", engine.upstream());
             fixture.AddEngine("b", engine.upstream());
             RC_ASSERT(fixture.Accept(JobRunnerFixture::Spec(3)));
             std::set<ItemId> listed;
             for (const ItemResult& result : fixture.AwaitResults(3).results) {
               listed.insert(result.id);
               RC_ASSERT(!result.is_complete || result.text == "e1\ne2\ne3");
             }
             RC_ASSERT(listed.size() == 3U);
           });
}

}  // namespace
}  // namespace briarspread::batch
