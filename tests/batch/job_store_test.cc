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
  JobStoreFixture fixture;
  IndexOf(fixture.Accept("one"));
  const auto second = fixture.Accept("two");
  REQUIRE(IsChanged(second));
  REQUIRE(std::get<RecordChanged>(ValueOf(second)).current->record.owner ==
          InstanceId("one"));
}

TEST_CASE("a retry finds an accept whose answer was lost") {
  JobStoreFixture fixture;
  fixture.store.SetFault(Fault::kLoseAnswer);
  REQUIRE(ErrorOf(fixture.Accept("one")).verdict == Verdict::kMayHaveRun);
  fixture.store.SetFault(Fault::kNone);
  const auto second = fixture.Accept("one");
  REQUIRE(IsChanged(second));
  REQUIRE(std::get<RecordChanged>(ValueOf(second)).current->record.owner ==
          InstanceId("one"));
}

// Guards against the failure of 2026-12-04: an owner that knew nothing of what
// was listed took an earlier owner's chunk for its own, and listed anew.
TEST_CASE("another owner's chunk is not taken for an own write") {
  JobStoreFixture fixture;
  const StoreIndex old_index = IndexOf(fixture.Accept("one"));
  IndexOf(fixture.Append(old_index, Chunk(0, "a")));
  const StoreIndex index = IndexOf(fixture.ReplaceRecord("two", old_index));
  REQUIRE(IsChanged(fixture.Append(index, Chunk(0, "b"))));
  // The same chunk, on the other hand, is one whose answer was lost.
  fixture.store.SetFault(Fault::kLoseAnswer);
  REQUIRE_FALSE(IsOk(fixture.Append(index, Chunk(1, "b"))));
  fixture.store.SetFault(Fault::kNone);
  IndexOf(fixture.Append(index, Chunk(1, "b")));
}

TEST_CASE("results with a gap are not read") {
  JobStoreFixture fixture;
  const StoreIndex index = IndexOf(fixture.Accept("one"));
  IndexOf(fixture.Append(index, Chunk(0, "a")));
  IndexOf(fixture.Append(index, Chunk(2, "b")));
  REQUIRE_FALSE(IsOk(fixture.Await<std::vector<ItemResult>>([&](auto done) {
    fixture.jobs.ReadResults(JobId("job"), std::move(done));
  })));
}

TEST_CASE("a new owner's record fences the writes of the previous owner") {
  JobStoreFixture fixture;
  const StoreIndex old_index = IndexOf(fixture.Accept("one"));
  IndexOf(fixture.Append(old_index, Chunk(0, "a")));
  const StoreIndex new_index = IndexOf(fixture.ReplaceRecord("two", old_index));
  REQUIRE(IsChanged(fixture.Append(old_index, Chunk(1, "b"))));
  REQUIRE(IsChanged(fixture.ReplaceRecord("three", old_index)));
  IndexOf(fixture.Append(new_index, Chunk(1, "b")));
  const auto listed = fixture.Await<std::vector<ItemResult>>([&](auto done) {
    fixture.jobs.ReadResults(JobId("job"), std::move(done));
  });
  REQUIRE(ValueOf(listed).size() == 2);
  REQUIRE(ValueOf(listed)[1].id == ItemId("b"));
}

TEST_CASE("a retried chunk whose answer was lost is written once") {
  JobStoreFixture fixture;
  const StoreIndex index = IndexOf(fixture.Accept("one"));
  fixture.store.SetFault(Fault::kLoseAnswer);
  REQUIRE_FALSE(IsOk(fixture.Append(index, Chunk(0, "a"))));
  fixture.store.SetFault(Fault::kNone);
  IndexOf(fixture.Append(index, Chunk(0, "a")));
  IndexOf(fixture.Append(index, Chunk(1, "b")));
  const auto listed = fixture.Await<std::vector<ItemResult>>([&](auto done) {
    fixture.jobs.ReadResults(JobId("job"), std::move(done));
  });
  REQUIRE(ValueOf(listed).size() == 2);
}

// Guards against a failure of simulated days: checkpoints of two owners had the
// same keys, so the later owner's writes failed and it lost its job repeatedly.
TEST_CASE("checkpoints of different owners have different keys") {
  JobStoreFixture fixture;
  StoreIndex index = IndexOf(fixture.Accept("one"));
  for (int owner = 0; owner < 3; ++owner) {
    for (std::uint64_t n = 0; n < 3; ++n) {
      JobChunk chunk;
      chunk.checkpoint_number = n;
      const std::string text = std::to_string(owner) + std::to_string(n);
      chunk.checkpoint.push_back({ItemId("a"), 0, text, n + 1, n + 1, {}});
      IndexOf(fixture.Append(index, chunk));
    }
    index = IndexOf(fixture.ReplaceRecord("next", index));
  }
  const auto job = fixture.Await<StoredJob>([&](auto done) {
    fixture.jobs.ReadJob(fixture.ReadRecord(), std::move(done));
  });
  REQUIRE(IsOk(job));
  // The latest checkpoint wins.
  REQUIRE(ValueOf(job).progress.at(ItemId("a")).text() == "22");
  REQUIRE(ValueOf(job).spec.items.size() == 2);
}

TEST_CASE("a large specification is split into parts and reassembled") {
  JobStoreFixture fixture;
  JobSpec spec = Spec();
  spec.items[0].body = std::string(2'000'000, '\x01');
  const auto accepted = fixture.Await<RecordOutcome>([&](auto done) {
    fixture.jobs.Accept(spec, Record("one"), std::move(done));
  });
  IndexOf(accepted);
  const StoredRecord stored = fixture.ReadRecord();
  REQUIRE(stored.record.spec_parts == 3);
  const auto read = fixture.Await<JobSpec>(
      [&](auto done) { fixture.jobs.ReadSpec(stored, std::move(done)); });
  REQUIRE(ValueOf(read).items[0].body == spec.items[0].body);
}

TEST_CASE("a deleted job leaves nothing in the store and is not found") {
  JobStoreFixture fixture;
  StoreIndex index = IndexOf(fixture.Accept("one"));
  for (std::uint64_t n = 0; n < 40; ++n) {
    JobChunk chunk = Chunk(n, "i" + std::to_string(n));
    chunk.checkpoint_number = n;
    chunk.checkpoint.push_back({ItemId("a"), 0, "text", n + 1, n + 1, {}});
    IndexOf(fixture.Append(index, chunk));
  }
  const auto deleted = fixture.Await<std::monostate>([&](auto done) {
    fixture.jobs.Delete(fixture.ReadRecord(), std::move(done));
  });
  REQUIRE(IsOk(deleted));
  REQUIRE(fixture.store.items().empty());
  const auto read = fixture.Await<StoredRecord>([&](auto done) {
    fixture.jobs.ReadRecord(JobId("job"), std::move(done));
  });
  REQUIRE(ErrorOf(read).code == ErrorCode::kNotFound);
}

TEST_CASE("a refused read does not report a job as unknown") {
  JobStoreFixture fixture;
  fixture.store.SetFault(Fault::kRefuse);
  const auto read = fixture.Await<StoredRecord>([&](auto done) {
    fixture.jobs.ReadRecord(JobId("job"), std::move(done));
  });
  REQUIRE(ErrorOf(read).code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace briarspread::batch
