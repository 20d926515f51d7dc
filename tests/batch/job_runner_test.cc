#include "briarspread/batch/job_runner.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

TEST_CASE("items are run and their results are listed") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(3));
  fixture.AddEngine("e", engine);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec(4)));
  const ResultPage page = fixture.AwaitResults(4);
  REQUIRE(page.total == 4);
  for (const ItemResult& result : page.results) {
    REQUIRE(result.is_complete);
    REQUIRE(result.text == "e1\ne2\ne3");
    REQUIRE(result.versions == std::vector<WeightVersion>{WeightVersion(2)});
  }
}

TEST_CASE("a broken run resumes on another engine after its last event") {
  JobRunnerFixture fixture;
  FakeUpstream breaks(fixture.loop, fixture.AnswerWithEvents(2, true));
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(4));
  fixture.AddEngine("breaks", breaks);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return !breaks.requests.empty(); });
  fixture.AddEngine("sound", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].text == "e1\ne2\ne3\ne4");
}

// Guards against the failure of 2026-12-04: a text went on at an engine of
// another software version.
TEST_CASE("a text goes on only at the software version that began it") {
  JobRunnerFixture fixture;
  FakeUpstream breaks(fixture.loop, fixture.AnswerWithEvents(2, true));
  FakeUpstream other(fixture.loop, fixture.AnswerWithEvents(4));
  FakeUpstream same(fixture.loop, fixture.AnswerWithEvents(4));
  fixture.AddEngine("breaks", breaks);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return !breaks.requests.empty(); });
  fixture.AddEngine("other", other, 2, "v2");
  SECTION("while another engine has that version") {
    fixture.AddEngine("same", same);
    REQUIRE(fixture.AwaitResults(1).results[0].text == "e1\ne2\ne3\ne4");
    REQUIRE(other.requests.empty());
    REQUIRE(same.requests[0].head.headers.FindNumber(
                fixture.headers.last_event_id) == 2);
  }
  SECTION("else it begins again") {
    fixture.directory.Remove({UpstreamId("breaks")});
    REQUIRE(fixture.AwaitResults(1).results[0].text == "e1\ne2\ne3\ne4");
    REQUIRE(other.requests[0].head.headers.Find(
                fixture.headers.last_event_id) == nullptr);
  }
}

// Guards against a failure of simulated days: a resumed stream without events
// names no version and counted as broken, so the item was retried on every
// engine until its step expired.
TEST_CASE("a run that broke after the final event completes when resumed") {
  JobRunnerFixture fixture;
  FakeUpstream breaks(fixture.loop, fixture.AnswerWithEvents(2, true));
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("breaks", breaks);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return !breaks.requests.empty(); });
  fixture.AddEngine("sound", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].text == "e1\ne2");
  REQUIRE(sound.requests.size() <= 1);
}

TEST_CASE("events without a version are not used") {
  JobRunnerFixture fixture;
  FakeUpstream unlabelled(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        proxy::ResponseHead head;
        head.status = 200;
        head.headers.Add(fixture.headers.signature, "sig");
        responder->Start(head);
        responder->Write("id: 1\ndata: x\n\n");
        responder->End();
      });
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(1));
  fixture.AddEngine("unlabelled", unlabelled);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return !unlabelled.requests.empty(); });
  fixture.AddEngine("sound", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].text == "e1");
}

TEST_CASE("no item runs on an engine whose weights are too old") {
  JobRunnerFixture fixture;
  FakeUpstream old(fixture.loop, fixture.AnswerWithEvents(1));
  FakeUpstream current(fixture.loop, fixture.AnswerWithEvents(1));
  fixture.AddEngine("old", old, 1);
  fixture.AddEngine("current", current, 2);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec(4)));
  fixture.AwaitResults(4);
  REQUIRE(old.requests.empty());
}

TEST_CASE("items wait while the limit of their engine leaves no room") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(1));
  fixture.AddEngine("e", engine);
  const forward::UpstreamStart start{UpstreamId("e"), 0};
  // Without a source of permits, none is granted.
  fixture.limiter.RecordPeerNotice({start, forward::RequestRate(1)});
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec(3)));
  REQUIRE(fixture.runner.waiting_count() == 3);
  REQUIRE(engine.requests.empty());
  fixture.limiter.RecordPeerNotice({start, std::nullopt});
  fixture.AwaitResults(3);
}

TEST_CASE("an item is given up if it is impossible or fails too often") {
  for (const int status : {422, 500}) {
    JobRunnerFixture fixture;
    FakeUpstream engine(fixture.loop, [&](const proxy::Request&,
                                          const ResponderPtr& responder) {
      responder->Send(forward::SignedResponse(fixture.headers, status, "no"));
    });
    fixture.AddEngine("e", engine);
    REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
    REQUIRE_FALSE(fixture.AwaitResults(1).results[0].is_complete);
    REQUIRE(engine.requests.size() == (status == 422 ? 1 : 2));
  }
}

// Guards against a crash: an expired item was given up while its run continued,
// and the next event of the run failed an assertion.
TEST_CASE("an expired item is given up and its run is cancelled") {
  JobRunnerFixture fixture;
  auto made = std::make_shared<forward::Configuration>(
      *fixture.configuration.current());
  made->version = forward::ConfigurationVersion(2);
  made->routes[0].item_time_to_live = milliseconds(50);
  fixture.configuration.UpdateIfNewer(made);
  bool is_gone = false;
  FakeUpstream slow(fixture.loop,
                    [&](const proxy::Request&, const ResponderPtr& responder) {
                      responder->Start(fixture.EngineHead(200));
                      responder->Write("id: 1\ndata: x\n\n");
                      responder->SetOnDisconnect([&] { is_gone = true; });
                    });
  fixture.AddEngine("e", slow);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  REQUIRE_FALSE(fixture.AwaitResults(1).results[0].is_complete);
  fixture.Await([&] { return is_gone; });
}

TEST_CASE("a refused accept runs nothing, one with a lost answer is retried") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(1));
  fixture.AddEngine("e", engine);
  fixture.store.SetFault(AsyncMemoryStore::Fault::kRefuse);
  REQUIRE_FALSE(fixture.Accept(JobRunnerFixture::Spec()));
  REQUIRE_FALSE(fixture.runner.Owns(JobId("job")));
  fixture.store.SetFault(AsyncMemoryStore::Fault::kLoseAnswer);
  std::optional<Result<std::monostate>> result;
  fixture.runner.Accept(JobRunnerFixture::Spec(), "key",
                        [&](const auto& got) { result = got; });
  fixture.store.SetFault(AsyncMemoryStore::Fault::kNone);
  fixture.AwaitStore([&] { return result.has_value(); });
  REQUIRE(IsOk(*result));
  fixture.AwaitResults(1);
  REQUIRE(engine.requests.size() == 1);
}

TEST_CASE("ending a job stops its runs and marks its record as ended") {
  JobRunnerFixture fixture;
  FakeUpstream silent(fixture.loop,
                      [](const proxy::Request&, const ResponderPtr&) {});
  fixture.AddEngine("e", silent);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return !silent.requests.empty(); });
  std::optional<Result<std::monostate>> ended;
  fixture.runner.End(JobId("job"), [&](const auto& got) { ended = got; });
  fixture.AwaitStore([&] { return ended.has_value(); });
  REQUIRE(IsOk(*ended));
  REQUIRE(fixture.runner.running_count() == 0);
  REQUIRE(fixture.listener.last->record.is_ended);
}

TEST_CASE("a new owner resumes text from a checkpoint") {
  JobRunnerSettings settings = JobRunnerFixture::FastSettings();
  settings.events_per_checkpoint = 1;
  settings.checkpoint_interval = milliseconds(1);
  JobRunnerFixture fixture(settings);
  FakeUpstream stops(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Start(fixture.EngineHead(200));
        responder->Write("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
      });
  fixture.AddEngine("stops", stops);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  const auto has_checkpoint = [&] {
    for (const auto& [key, item] : fixture.store.items()) {
      if (key.find("/c/") != std::string::npos) return true;
    }
    return false;
  };
  fixture.AwaitStore(has_checkpoint);

  // Another instance takes the job over without a handover.
  InstanceRecord other_self;
  other_self.name = InstanceId("other");
  RecordingListener other_listener;
  JobRunner other(fixture.context, fixture.jobs, settings, other_self,
                  other_listener);
  other.Start();
  fixture.directory.Remove({UpstreamId("stops")});
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(3));
  fixture.AddEngine("sound", sound);
  std::optional<Result<std::monostate>> adopted;
  other.Adopt(fixture.runner.RecordOf(JobId("job")), JobHandover{},
              [&](const auto& got) { adopted = got; });
  fixture.AwaitStore([&] { return adopted.has_value(); });
  REQUIRE(IsOk(*adopted));
  std::optional<ResultPage> page;
  fixture.AwaitStore([&] {
    other.Read(JobId("job"), 0, milliseconds(0), [&](const auto& got) {
      if (!ValueOf(got).results.empty()) page = ValueOf(got);
    });
    return page.has_value();
  });
  REQUIRE(page->results[0].text == "e1\ne2\ne3");
  REQUIRE(sound.requests[0].head.headers.FindNumber(
              fixture.headers.last_event_id) == 2);
}

// Guards against the failure of 2026-12-04 (TWICE): a job that was submitted
// again while its new owner was loading it was listed anew from the beginning.
TEST_CASE("a job submitted again during its takeover keeps what was listed") {
  JobRunnerFixture fixture;
  FakeUpstream engine(fixture.loop, fixture.AnswerWithEvents(2));
  fixture.AddEngine("e", engine);
  const JobSpec spec = JobRunnerFixture::Spec(3);
  REQUIRE(fixture.Accept(spec));
  const ResultPage before = fixture.AwaitResults(3);
  const StoredRecord record = fixture.runner.RecordOf(spec.id);
  fixture.runner.DropJob(spec.id);

  InstanceRecord other_self;
  other_self.name = InstanceId("other");
  RecordingListener other_listener;
  JobRunner other(fixture.context, fixture.jobs,
                  JobRunnerFixture::FastSettings(), other_self, other_listener);
  other.Start();
  int answered = 0;
  const auto count = [&](const Result<std::monostate>& got) {
    answered += IsOk(got);
  };
  SECTION("the takeover's answer comes first") {
    other.Adopt(record, JobHandover{}, count);
    other.Accept(spec, "key", count);
  }
  SECTION("the submission's answer comes first") {
    other.Accept(spec, "key", count);
    other.Adopt(record, JobHandover{}, count);
  }
  SECTION("the takeover's answer is lost") {
    fixture.store.SetFault(AsyncMemoryStore::Fault::kLoseAnswer);
    other.Adopt(record, JobHandover{}, [&](const auto&) { ++answered; });
    fixture.store.SetFault(AsyncMemoryStore::Fault::kNone);
    other.Accept(spec, "key", count);
  }
  fixture.AwaitStore([&] { return answered == 2 && other.Owns(spec.id); });
  const std::size_t runs = engine.requests.size();
  for (int i = 0; i < 20; ++i) {
    fixture.loop.restart();
    fixture.loop.run_one_for(milliseconds(5));
    fixture.store.Deliver();
  }
  // Nothing is run anew, and all stands at its position.
  REQUIRE(engine.requests.size() == runs);
  std::optional<ResultPage> after;
  other.Read(spec.id, 0, milliseconds(0),
             [&](const Result<ResultPage>& got) { after = ValueOf(got); });
  fixture.AwaitStore([&] { return after.has_value(); });
  REQUIRE(after->results.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(after->results[i].id == before.results[i].id);
  }
}

// Guards against a failure of a simulated day (mantaro-rl trouble-2 --seed
// 678892846401, TWICE): a handover timed out at the owner while the new owner
// adopted the job, and both ran it.
TEST_CASE("an owner rewrites the record to resume after a failed handover") {
  JobRunnerFixture fixture;
  FakeUpstream silent(fixture.loop,
                      [](const proxy::Request&, const ResponderPtr&) {});
  fixture.AddEngine("e", silent);
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  fixture.AwaitStore([&] { return silent.requests.size() == 1; });
  const JobId id("job");
  const StoredRecord before = fixture.runner.RecordOf(id);
  fixture.runner.PrepareHandover(id);
  REQUIRE(fixture.runner.running_count() == 0);

  SECTION("without a takeover the owner resumes, and a late takeover fails") {
    fixture.runner.Reclaim(id);
    fixture.AwaitStore([&] { return fixture.runner.running_count() == 1; });
    REQUIRE(fixture.runner.RecordOf(id).index > before.index);
    std::optional<Result<RecordOutcome>> late;
    fixture.jobs.ReplaceRecord(id, before.record, before.index,
                               [&](const auto& got) { late = got; });
    fixture.store.Deliver();
    REQUIRE(std::holds_alternative<RecordChanged>(ValueOf(*late)));
  }
  SECTION("after a takeover the job is left to the new owner") {
    JobRecord taken = before.record;
    taken.owner = InstanceId("taker");
    fixture.jobs.ReplaceRecord(id, taken, before.index, [](const auto&) {});
    fixture.store.Deliver();
    fixture.runner.Reclaim(id);
    fixture.AwaitStore([&] { return !fixture.runner.Owns(id); });
    REQUIRE(fixture.runner.running_count() == 0);
    REQUIRE(fixture.listener.last->record.owner == InstanceId("taker"));
  }
}

// Guards against the failure of 2026-12-04: an item was never placed again
// after engines had crashed under it, though all was calm.
TEST_CASE("an item under which engines crashed is placed again") {
  JobRunnerFixture fixture;
  FakeUpstream crashes(
      fixture.loop, [](const proxy::Request&, const ResponderPtr& responder) {
        responder->Abort();
      });
  for (int i = 0; i < 5; ++i) {
    fixture.AddEngine("e" + std::to_string(i), crashes);
  }
  std::size_t runs = 0;
  REQUIRE(fixture.Accept(JobRunnerFixture::Spec()));
  for (int i = 0; i < 5; ++i) {
    fixture.AwaitStore([&] { return crashes.requests.size() > runs; });
    fixture.AwaitStore([&] { return fixture.runner.running_count() == 0; });
    runs = crashes.requests.size();
    // The engines whose runs broke are reported as ended.
    for (int k = 0; k < 5; ++k) {
      fixture.crash_guard.OnUpstreamEnd(
          {UpstreamId("e" + std::to_string(k)), 0});
    }
    fixture.directory.Remove({UpstreamId("e" + std::to_string(i))});
  }
  FakeUpstream sound(fixture.loop, fixture.AnswerWithEvents(3));
  fixture.AddEngine("sound", sound);
  REQUIRE(fixture.AwaitResults(1).results[0].is_complete);
}

// The same for a reward call, without which an item is never complete.
TEST_CASE("a reward call under which upstreams crashed is sent again") {
  JobRunnerFixture fixture;
  const RewardCall call{"score", "h", "/p/score", "body"};
  const Fingerprint fingerprint =
      forward::FingerprintOf(call.host, call.path, call.body, std::nullopt);
  for (int i = 0; i < 3; ++i) {
    const forward::UpstreamStart upstream{
        UpstreamId("crashed" + std::to_string(i)), 1};
    fixture.crash_guard.RecordBrokenExchange(upstream, fingerprint,
                                             fixture.clock.Now());
    fixture.crash_guard.OnUpstreamEnd(upstream);
  }
  REQUIRE(fixture.crash_guard.table().IsRefused(fingerprint));
  FakeUpstream sound(
      fixture.loop, [&](const proxy::Request&, const ResponderPtr& responder) {
        responder->Send(forward::SignedResponse(fixture.headers, 200, "ok"));
      });
  fixture.Add("sound", sound);
  std::optional<RewardOutcome> outcome;
  RewardRun run(fixture.context, call,
                [&](const RewardOutcome& got) { outcome = got; });
  run.Start();
  fixture.Await([&] { return outcome.has_value(); });
  REQUIRE(outcome->score == "sig");
}

// Guards against a score that is the signature of a failure: an answer too long
// to be kept is passed on by its head, whatever its status.
TEST_CASE("a long answer that is no success gives no score") {
  for (const int status : {404, 500}) {
    CAPTURE(status);
    JobRunnerFixture fixture;
    const std::string body(1'000'000, 'x');
    FakeUpstream rewards(fixture.loop, [&](const proxy::Request&,
                                           const ResponderPtr& responder) {
      responder->Send(forward::SignedResponse(fixture.headers, status, body));
    });
    fixture.Add("rewards", rewards);
    std::optional<RewardOutcome> outcome;
    RewardRun run(fixture.context, RewardCall{"r", "h", "/p/score", "body"},
                  [&](const RewardOutcome& got) { outcome = got; });
    run.Start();
    fixture.Await([&] { return outcome.has_value(); });
    REQUIRE(outcome->score.empty());
  }
}

}  // namespace
}  // namespace briarspread::batch
