#include "briarspread/batch/job_store.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/support/async_memory_store.h"

namespace briarspread::batch {
namespace {

using briarspread::testing::AsyncMemoryStore;
using Fault = AsyncMemoryStore::Fault;

JobSpec Spec() {
  JobSpec spec;
  spec.id = JobId("job");
  spec.items.resize(2);
  spec.items[0].id = ItemId("a");
  spec.items[1].id = ItemId("b");
  return spec;
}

JobRecord Record(const std::string& owner) {
  JobRecord record;
  record.owner = InstanceId(owner);
  record.total = 2;
  return record;
}

JobChunk Chunk(std::uint64_t position, const std::string& id) {
  JobChunk chunk;
  chunk.position = position;
  chunk.results.resize(1);
  chunk.results[0].id = ItemId(id);
  return chunk;
}

struct JobStoreFixture {
  JobStoreFixture() : jobs(store) {}

  Result<RecordOutcome> Accept(const std::string& owner) {
    return Await<RecordOutcome>([&](auto done) {
      jobs.Accept(Spec(), Record(owner), std::move(done));
    });
  }
  Result<RecordOutcome> Append(StoreIndex index, const JobChunk& chunk) {
    return Await<RecordOutcome>([&](auto done) {
      jobs.Append(JobId("job"), index, chunk, std::move(done));
    });
  }
  Result<RecordOutcome> ReplaceRecord(const std::string& owner,
                                      StoreIndex index) {
    return Await<RecordOutcome>([&](auto done) {
      jobs.ReplaceRecord(JobId("job"), Record(owner), index, std::move(done));
    });
  }
  StoredRecord ReadRecord() {
    const auto read = Await<StoredRecord>(
        [&](auto done) { jobs.ReadRecord(JobId("job"), std::move(done)); });
    REQUIRE(IsOk(read));
    return ValueOf(read);
  }
  template <typename T, typename Call>
  Result<T> Await(const Call& call) {
    std::optional<Result<T>> result;
    call([&](const Result<T>& got) { result = got; });
    store.Deliver();
    REQUIRE(result.has_value());
    return *result;
  }

  AsyncMemoryStore store;
  JobStore jobs;
};

StoreIndex IndexOf(const Result<RecordOutcome>& outcome) {
  REQUIRE(IsOk(outcome));
  return std::get<RecordWritten>(ValueOf(outcome)).index;
}

bool IsChanged(const Result<RecordOutcome>& outcome) {
  return IsOk(outcome) &&
         std::holds_alternative<RecordChanged>(ValueOf(outcome));
}

TEST_CASE("a job is accepted by only one instance") {
  JobStoreFixture world;
  IndexOf(world.Accept("one"));
  const auto second = world.Accept("two");
  REQUIRE(IsChanged(second));
  REQUIRE(std::get<RecordChanged>(ValueOf(second)).current->record.owner ==
          InstanceId("one"));
}

TEST_CASE("a retry finds an accept whose answer was lost") {
  JobStoreFixture world;
  world.store.SetFault(Fault::kLoseAnswer);
  REQUIRE(ErrorOf(world.Accept("one")).verdict == Verdict::kMayHaveRun);
  world.store.SetFault(Fault::kNone);
  const auto second = world.Accept("one");
  REQUIRE(IsChanged(second));
  REQUIRE(std::get<RecordChanged>(ValueOf(second)).current->record.owner ==
          InstanceId("one"));
}

TEST_CASE("a new owner's record fences the writes of the previous owner") {
  JobStoreFixture world;
  const StoreIndex old_index = IndexOf(world.Accept("one"));
  IndexOf(world.Append(old_index, Chunk(0, "a")));
  const StoreIndex new_index = IndexOf(world.ReplaceRecord("two", old_index));
  REQUIRE(IsChanged(world.Append(old_index, Chunk(1, "b"))));
  REQUIRE(IsChanged(world.ReplaceRecord("three", old_index)));
  IndexOf(world.Append(new_index, Chunk(1, "b")));
  const auto listed = world.Await<std::vector<ItemResult>>([&](auto done) {
    world.jobs.ReadResults(JobId("job"), std::move(done));
  });
  REQUIRE(ValueOf(listed).size() == 2);
  REQUIRE(ValueOf(listed)[1].id == ItemId("b"));
}

TEST_CASE("a retried chunk whose answer was lost is written once") {
  JobStoreFixture world;
  const StoreIndex index = IndexOf(world.Accept("one"));
  world.store.SetFault(Fault::kLoseAnswer);
  REQUIRE_FALSE(IsOk(world.Append(index, Chunk(0, "a"))));
  world.store.SetFault(Fault::kNone);
  IndexOf(world.Append(index, Chunk(0, "a")));
  IndexOf(world.Append(index, Chunk(1, "b")));
  const auto listed = world.Await<std::vector<ItemResult>>([&](auto done) {
    world.jobs.ReadResults(JobId("job"), std::move(done));
  });
  REQUIRE(ValueOf(listed).size() == 2);
}

// Guards against a failure of simulated days: checkpoints of two owners had the
// same keys, so the later owner's writes failed and it lost its job repeatedly.
TEST_CASE("checkpoints of different owners have different keys") {
  JobStoreFixture world;
  StoreIndex index = IndexOf(world.Accept("one"));
  for (int owner = 0; owner < 3; ++owner) {
    for (std::uint64_t n = 0; n < 3; ++n) {
      JobChunk chunk;
      chunk.checkpoint_number = n;
      const std::string text = std::to_string(owner) + std::to_string(n);
      chunk.checkpoint.push_back({ItemId("a"), 0, text, n + 1, n + 1, {}});
      IndexOf(world.Append(index, chunk));
    }
    index = IndexOf(world.ReplaceRecord("next", index));
  }
  const auto job = world.Await<StoredJob>([&](auto done) {
    world.jobs.ReadJob(world.ReadRecord(), std::move(done));
  });
  REQUIRE(IsOk(job));
  // The latest checkpoint wins.
  REQUIRE(ValueOf(job).progress.at(ItemId("a")).text() == "22");
  REQUIRE(ValueOf(job).spec.items.size() == 2);
}

TEST_CASE("a large specification is split into parts and reassembled") {
  JobStoreFixture world;
  JobSpec spec = Spec();
  spec.items[0].body = std::string(2'000'000, '\x01');
  const auto accepted = world.Await<RecordOutcome>([&](auto done) {
    world.jobs.Accept(spec, Record("one"), std::move(done));
  });
  IndexOf(accepted);
  const StoredRecord stored = world.ReadRecord();
  REQUIRE(stored.record.spec_parts == 3);
  const auto read = world.Await<JobSpec>(
      [&](auto done) { world.jobs.ReadSpec(stored, std::move(done)); });
  REQUIRE(ValueOf(read).items[0].body == spec.items[0].body);
}

TEST_CASE("a deleted job leaves nothing in the store and is not found") {
  JobStoreFixture world;
  StoreIndex index = IndexOf(world.Accept("one"));
  for (std::uint64_t n = 0; n < 40; ++n) {
    JobChunk chunk = Chunk(n, "i" + std::to_string(n));
    IndexOf(world.Append(index, chunk));
  }
  const auto deleted = world.Await<std::monostate>([&](auto done) {
    world.jobs.Delete(world.ReadRecord(), std::move(done));
  });
  REQUIRE(IsOk(deleted));
  REQUIRE(world.store.items().empty());
  const auto read = world.Await<StoredRecord>(
      [&](auto done) { world.jobs.ReadRecord(JobId("job"), std::move(done)); });
  REQUIRE(ErrorOf(read).code == ErrorCode::kNotFound);
}

TEST_CASE("a refused read does not report a job as unknown") {
  JobStoreFixture world;
  world.store.SetFault(Fault::kRefuse);
  const auto read = world.Await<StoredRecord>(
      [&](auto done) { world.jobs.ReadRecord(JobId("job"), std::move(done)); });
  REQUIRE(ErrorOf(read).code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace briarspread::batch
