#ifndef TESTS_BATCH_JOB_RUNNER_FIXTURE_H_
#define TESTS_BATCH_JOB_RUNNER_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "briarspread/batch/job_runner.h"
#include "tests/forward/forward_fixture.h"
#include "tests/support/async_memory_store.h"

namespace briarspread::batch {

using briarspread::testing::AsyncMemoryStore;
using forward::FakeUpstream;
using ResponderPtr = std::shared_ptr<proxy::Responder>;

inline const ModelName kModel("m");

struct RecordingListener final : JobRunner::Listener {
  void OnJobRecord(const StoredRecord& stored) override { last = stored; }
  void OnJobDeleted(const JobId&) override {}
  void OnOwnershipUnknown(const JobId&) override {}
  std::optional<StoredRecord> last;
};

/// Fixture with a job runner, engines on loopback, and a store in memory.
struct JobRunnerFixture : forward::ForwardFixture {
  explicit JobRunnerFixture(const JobRunnerSettings& settings = FastSettings())
      : jobs(store), runner(context, jobs, settings, self, listener) {
    auto made = std::make_shared<forward::Configuration>();
    made->version = forward::ConfigurationVersion(1);
    forward::Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/p/";
    route.kind = forward::RouteKind::kRollout;
    route.backends = {{ServiceName("s"), 1}};
    route.max_attempts = 2;
    route.due = seconds(10);
    route.item_time_to_live = item_time;
    made->routes.push_back(route);
    configuration.UpdateIfNewer(made);
    runner.Start();
  }

  static JobRunnerSettings FastSettings() {
    JobRunnerSettings settings;
    settings.listing_delay = milliseconds(1);
    settings.max_listing_wait = milliseconds(5);
    settings.store_retry_delay = milliseconds(5);
    settings.review_interval = milliseconds(10);
    return settings;
  }

  static JobSpec Spec(int items = 1) {
    JobSpec spec;
    spec.id = JobId("job");
    spec.host = "h";
    spec.path = "/p/job";
    spec.model = kModel;
    spec.oldest_allowed = WeightVersion(2);
    for (int i = 0; i < items; ++i) {
      ItemSpec item;
      item.id = ItemId("i" + std::to_string(i));
      item.path = "/p/x";
      item.group = ItemGroup("g");
      spec.items.push_back(item);
    }
    return spec;
  }

  template <typename IsDone>
  void AwaitStore(const IsDone& is_done) {
    Await([&] {
      store.Deliver();
      return is_done();
    });
  }

  bool Accept(const JobSpec& spec) {
    std::optional<Result<std::monostate>> result;
    runner.Accept(spec, "key", [&](const auto& got) { result = got; });
    AwaitStore([&] { return result.has_value(); });
    return IsOk(*result);
  }

  ResultPage AwaitResults(std::size_t n) {
    const JobId id("job");
    std::optional<ResultPage> page;
    AwaitStore([&] {
      if (!runner.Owns(id)) return false;
      runner.Read(id, 0, milliseconds(0), [&](const Result<ResultPage>& got) {
        if (IsOk(got) && ValueOf(got).results.size() >= n) page = ValueOf(got);
      });
      return page.has_value();
    });
    return *page;
  }

  void AddEngine(const std::string& id, const FakeUpstream& engine,
                 std::uint64_t version = 2,
                 const std::string& software = "v1") {
    Add(id, engine, {{kModel, WeightVersion(version)}}, 8, software);
  }

  /// Registers an engine at an endpoint of the test's own.
  void AddEngineAt(const std::string& id, const Endpoint& endpoint) {
    AddAt(id, endpoint, {{kModel, WeightVersion(2)}});
  }

  /// Adds a route of idempotent requests, such as reward calls, with a prefix.
  void AddIdempotentRoute(const std::string& prefix, milliseconds timeout) {
    auto made =
        std::make_shared<forward::Configuration>(*configuration.current());
    made->version = forward::ConfigurationVersion(made->version.value() + 1);
    forward::Route route = made->routes[0];
    route.prefix = prefix;
    route.kind = forward::RouteKind::kIdempotent;
    route.timeout = timeout;
    made->routes.push_back(route);
    configuration.UpdateIfNewer(made);
  }

  /// Returns the head of an engine's response, which names weight version 2.
  proxy::ResponseHead EngineHead(int status) const {
    proxy::ResponseHead head;
    head.status = status;
    head.headers.Add(headers.signature, "sig");
    head.headers.Add(headers.weight_version, "2");
    return head;
  }

  /// Returns an engine's answer: a stream of the events up to `last`, starting
  /// after the last event id of the request, that then ends or breaks off.
  FakeUpstream::RespondFunction AnswerWithEvents(std::uint64_t last,
                                                 bool breaks = false) {
    return [this, last, breaks](const proxy::Request& request,
                                const ResponderPtr& responder) {
      const auto resumed =
          request.head.headers.FindNumber(headers.last_event_id);
      proxy::ResponseHead head;
      head.status = 200;
      head.headers.Add(headers.signature, "sig");
      // Like real engines: a response without events names no version.
      if (resumed.value_or(0) < last) {
        head.headers.Add(headers.weight_version, "2");
      }
      responder->Start(head);
      for (std::uint64_t n = resumed.value_or(0) + 1; n <= last; ++n) {
        responder->Write("id: " + std::to_string(n) + "\ndata: e" +
                         std::to_string(n) + "\n\n");
      }
      if (!breaks) {
        responder->End();
        return;
      }
      // The receiver reads what was sent before the connection is reset.
      const auto timer = std::make_shared<LoopTimer>(loop);
      timer->After(milliseconds(20), [timer, responder] {
        responder->Abort();
        timer->Cancel();
      });
    };
  }

  InstanceRecord self;
  milliseconds item_time{30000};
  AsyncMemoryStore store;
  JobStore jobs;
  RecordingListener listener;
  JobRunner runner;
};

}  // namespace briarspread::batch

#endif  // TESTS_BATCH_JOB_RUNNER_FIXTURE_H_
