#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "tests/batch/job_runner_fixture.h"

namespace briarspread::batch {
namespace {

/// One instance's calls to a shared store. Calls take effect at once; their
/// answers are kept, in any order, until the test delivers them, and may be
/// lost.
class ReorderedStore final : public AsyncStore {
 public:
  explicit ReorderedStore(AsyncMemoryStore& shared) : shared_(shared) {}

  /// Delivers the answer number `n`, counted modulo the answers that wait.
  void DeliverOne(std::size_t n) {
    if (answers_.empty()) return;
    const auto at =
        answers_.begin() + static_cast<std::ptrdiff_t>(n % answers_.size());
    const auto answer = std::move(*at);
    answers_.erase(at);
    answer();
  }
  /// Delivers all answers, also those to calls made meanwhile.
  void DeliverAll() {
    while (!answers_.empty()) DeliverOne(0);
  }
  /// Drops all answers, as if the calling process had ended.
  void Disconnect() { answers_.clear(); }
  /// Whether the answers to calls from now on are lost.
  bool loses_answers = false;

  void Get(const std::string& key,
           Done<std::optional<KeyValue>> done) override {
    Queue<std::optional<KeyValue>>(
        [&](auto got) { shared_.Get(key, std::move(got)); }, std::move(done));
  }
  void List(const std::string& prefix, Done<StoreListing> done) override {
    Queue<StoreListing>([&](auto got) { shared_.List(prefix, std::move(got)); },
                        std::move(done));
  }
  void Watch(const std::string& prefix, StoreIndex after, milliseconds wait,
             Done<StoreChanges> done) override {
    shared_.Watch(prefix, after, wait, std::move(done));
  }
  void Commit(StoreTransaction transaction, Done<StoreOutcome> done) override {
    Queue<StoreOutcome>(
        [&](auto got) {
          shared_.Commit(std::move(transaction), std::move(got));
        },
        std::move(done));
  }
  void GrantLease(milliseconds ttl, Done<StoreLease> done) override {
    shared_.GrantLease(ttl, std::move(done));
  }
  void RenewLease(StoreLeaseId lease, Done<StoreLease> done) override {
    shared_.RenewLease(lease, std::move(done));
  }
  void EndLease(StoreLeaseId lease, Done<std::monostate> done) override {
    shared_.EndLease(lease, std::move(done));
  }

 private:
  template <typename T, typename Call>
  void Queue(const Call& call, Done<T> done) {
    std::optional<Result<T>> result;
    call([&result](const Result<T>& got) { result = got; });
    shared_.Deliver();
    if (loses_answers) {
      result = Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun, "lost"};
    }
    answers_.push_back(
        [done = std::move(done), got = std::move(*result)] { done(got); });
  }

  AsyncMemoryStore& shared_;
  std::deque<std::function<void()>> answers_;
};

/// An instance that may own the job, and restart.
struct Owner {
  Owner(JobRunnerFixture& fixture, const std::string& name)
      : fixture(fixture), store(fixture.store), jobs(store) {
    self.name = InstanceId(name);
    Restart();
  }
  void Restart() {
    runner.reset();
    store.Disconnect();
    self.incarnation = Incarnation(self.incarnation.value() + 1);
    runner = std::make_unique<JobRunner>(fixture.context, jobs,
                                         JobRunnerFixture::FastSettings(), self,
                                         listener);
    runner->Start();
  }

  JobRunnerFixture& fixture;
  ReorderedStore store;
  JobStore jobs;
  InstanceRecord self;
  RecordingListener listener;
  std::unique_ptr<JobRunner> runner;
};

/// Instances that compete for one job, and what readers have seen of it.
class Competition {
 public:
  static constexpr int kItems = 4;

  Competition()
      : engine_(fixture_.loop,
                [this](const proxy::Request&, const ResponderPtr& responder) {
                  AnswerWithTextOfRun(*responder);
                }),
        spec_(JobRunnerFixture::Spec(kItems)) {
    fixture_.AddEngine("e", engine_);
    for (const char* name : {"a", "b", "c"}) {
      owners_.push_back(std::make_unique<Owner>(fixture_, name));
    }
    for (std::size_t i = 0; i < spec_.items.size(); ++i) {
      spec_.items[i].group = ItemGroup("g" + std::to_string(i));
    }
    Accept(*owners_[0]);
    owners_[0]->store.DeliverAll();
  }

  /// Carries out one step, chosen by `kind`, at the instance `who`.
  void Step(std::uint32_t kind, std::size_t who, std::size_t n) {
    Owner& owner = *owners_[who % owners_.size()];
    switch (kind % 10) {
      case 0:
        Accept(owner);
        break;
      case 1:
        Adopt(owner, JobHandover{});
        break;
      case 2:
        HandOver(owner, *owners_[(who + 1 + n) % owners_.size()]);
        break;
      case 3:
        owner.Restart();
        break;
      case 4:
        owner.store.loses_answers = !owner.store.loses_answers;
        break;
      case 5:
        // A submission that meets a takeover.
        Adopt(owner, JobHandover{});
        Accept(owner);
        break;
      default:
        owner.store.DeliverOne(n);
        Run(milliseconds(n % 4));
    }
    CheckReaders();
  }

  /// Lets one instance take the job over without faults, and checks that it
  /// lists each item once.
  void Finish() {
    for (const auto& owner : owners_) {
      owner->store.loses_answers = false;
      owner->store.DeliverAll();
    }
    Owner& last = *owners_[0];
    last.Restart();
    Adopt(last, JobHandover{});
    fixture_.Await([&] {
      last.store.DeliverAll();
      CheckReaders();
      return seen_.size() == kItems;
    });
    std::set<ItemId> ids;
    for (const ItemResult& result : seen_) ids.insert(result.id);
    RC_ASSERT(ids.size() == static_cast<std::size_t>(kItems));
  }

 private:
  /// Each run writes another text, so that results of two runs differ.
  void AnswerWithTextOfRun(proxy::Responder& responder) {
    proxy::Response response = forward::SignedResponse(
        fixture_.headers, 200,
        "id: 1\ndata: run " + std::to_string(++runs_) + "\n\n");
    response.head.headers.Set("Content-Type", "text/event-stream");
    response.head.headers.Add(fixture_.headers.weight_version, "2");
    responder.Send(response);
  }

  void Accept(Owner& owner) {
    owner.runner->Accept(spec_, "key", [](const auto&) {});
  }

  std::optional<StoredRecord> CurrentRecord() {
    JobStore jobs(fixture_.store);
    std::optional<StoredRecord> current;
    jobs.ReadRecord(spec_.id, [&](const Result<StoredRecord>& read) {
      if (IsOk(read)) current = ValueOf(read);
    });
    fixture_.store.Deliver();
    return current;
  }

  void Adopt(Owner& owner, const JobHandover& handover) {
    const auto current = CurrentRecord();
    if (!current.has_value()) return;
    owner.runner->Adopt(*current, handover, [](const auto&) {});
  }

  void HandOver(Owner& from, Owner& to) {
    if (&from == &to || !from.runner->Owns(spec_.id)) return;
    const StoredRecord stored = from.runner->RecordOf(spec_.id);
    const JobHandover handover = from.runner->PrepareHandover(spec_.id);
    to.runner->Adopt(stored, handover, [](const auto&) {});
    from.runner->Reclaim(spec_.id);
  }

  void Run(milliseconds time) {
    fixture_.loop.restart();
    fixture_.loop.run_for(time);
  }

  /// Reads the list from the store and from whoever owns the job: a position
  /// that was read once keeps its result.
  void CheckReaders() {
    JobStore jobs(fixture_.store);
    jobs.ReadResults(spec_.id, [&](const auto& read) {
      RC_ASSERT(IsOk(read));
      Compare(ValueOf(read));
    });
    fixture_.store.Deliver();
    for (const auto& owner : owners_) {
      if (!owner->runner->Owns(spec_.id)) continue;
      owner->runner->Read(spec_.id, 0, milliseconds(0), [&](const auto& page) {
        if (IsOk(page)) Compare(ValueOf(page).results);
      });
    }
  }

  void Compare(const std::vector<ItemResult>& read) {
    for (std::size_t i = 0; i < read.size(); ++i) {
      if (i == seen_.size()) seen_.push_back(read[i]);
      RC_ASSERT(read[i].id == seen_[i].id);
      RC_ASSERT(read[i].text == seen_[i].text);
    }
  }

  JobRunnerFixture fixture_;
  int runs_ = 0;
  FakeUpstream engine_;
  JobSpec spec_;
  std::vector<std::unique_ptr<Owner>> owners_;
  std::vector<ItemResult> seen_;
};

TEST_CASE("ownership") {
  rc::prop("no listed position changes, whoever owns the job meanwhile",
           [](const std::vector<std::array<std::uint32_t, 3>>& steps) {
             Competition competition;
             for (const auto& [kind, who, n] : steps) {
               competition.Step(kind, who, n);
             }
             competition.Finish();
           });
}

}  // namespace
}  // namespace briarspread::batch
