#include "briarspread/batch/job_store.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

namespace briarspread::batch {
namespace {

constexpr char kRecordPrefix[] = "job-records/";
constexpr char kSpecPrefix[] = "job-specs/";
/// Prefix of what owners write about a job. Results and checkpoints share it,
/// so that a single listing can find both.
constexpr char kChunkPrefix[] = "job-chunks/";

std::string RecordKey(const JobId& id) { return kRecordPrefix + id.value(); }

std::string SpecPrefix(const JobId& id) {
  return kSpecPrefix + id.value() + "/";
}

std::string ChunkPrefix(const JobId& id) {
  return kChunkPrefix + id.value() + "/";
}

std::string ResultPrefix(const JobId& id) { return ChunkPrefix(id) + "r/"; }

std::string CheckpointPrefix(const JobId& id) { return ChunkPrefix(id) + "c/"; }

/// Returns a key whose lexicographic order is the numeric order of `n`.
std::string NumberedKey(const std::string& prefix, std::uint64_t n) {
  std::array<char, 24> buf;
  const int length = std::snprintf(buf.data(), buf.size(), "%08llu",
                                   static_cast<unsigned long long>(n));
  return prefix + std::string(buf.data(), static_cast<std::size_t>(length));
}

/// The keys sort by owner first: checkpoints of a later owner follow those of
/// the previous one.
std::string CheckpointKey(const JobId& id, StoreIndex owner_index,
                          std::uint64_t number) {
  return NumberedKey(
      NumberedKey(CheckpointPrefix(id), owner_index.value()) + "/", number);
}

Error Malformed(const std::string& key) {
  return Error{ErrorCode::kInternal, Verdict::kAnswered,
               "malformed value of " + key};
}

std::optional<StoredRecord> ParseRecord(const KeyValue& item) {
  const auto record = DecodeJobRecord(item.value);
  if (!record.has_value()) {
    LOG(ERROR) << "event=record_skipped key=" << item.key;
    return std::nullopt;
  }
  return StoredRecord{
      JobId(item.key.substr(std::string_view(kRecordPrefix).size())), *record,
      item.index};
}

/// Returns the record among the current values of a failed transaction.
RecordChanged ToRecordChanged(const JobId& id, const StoreConflict& conflict) {
  const std::string key = RecordKey(id);
  for (const KeyValue& item : conflict.current) {
    if (item.key == key && item.index.value() != 0) {
      return RecordChanged{ParseRecord(item)};
    }
  }
  return RecordChanged{};
}

/// Returns whether the store has exactly this write.
bool HasWrite(const StoreConflict& conflict,
              const StoreTransaction::Write& write) {
  return std::any_of(conflict.current.begin(), conflict.current.end(),
                     [&](const KeyValue& item) {
                       return item.key == write.key &&
                              item.index.value() != 0 &&
                              item.value == write.value;
                     });
}

/// Returns a callback that converts the outcome of a transaction on a record
/// and passes it to `done`.
AsyncStore::Done<StoreOutcome> MakeRecordCallback(
    const JobId& id, AsyncStore::Done<RecordOutcome> done) {
  return [id, done = std::move(done)](const Result<StoreOutcome>& outcome) {
    if (!IsOk(outcome)) {
      done(ErrorOf(outcome));
    } else if (const auto* ok =
                   std::get_if<StoreCommitted>(&ValueOf(outcome))) {
      done(RecordOutcome(RecordWritten{ok->index}));
    } else {
      done(RecordOutcome(
          ToRecordChanged(id, std::get<StoreConflict>(ValueOf(outcome)))));
    }
  };
}

}  // namespace

void JobStore::Accept(const JobSpec& spec, JobRecord record,
                      Done<RecordOutcome> done) {
  const std::string bytes = Encode(spec);
  StoreTransaction put;
  std::uint32_t parts = 0;
  for (std::size_t at = 0; at < bytes.size(); at += kMaxJobValueBytes) {
    put.writes.push_back({NumberedKey(SpecPrefix(spec.id), parts++),
                          bytes.substr(at, kMaxJobValueBytes), StoreLeaseId()});
  }
  record.spec_parts = parts;
  if (parts + 2 > kMaxTransactionEntries) {
    done(Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               "the job is too large"});
    return;
  }
  put.conditions.push_back({RecordKey(spec.id), StoreIndex(0)});
  put.writes.push_back({RecordKey(spec.id), Encode(record), StoreLeaseId()});
  store_.Commit(std::move(put), MakeRecordCallback(spec.id, std::move(done)));
}

void JobStore::ReplaceRecord(const JobId& id, const JobRecord& record,
                             StoreIndex index, Done<RecordOutcome> done) {
  StoreTransaction put;
  put.conditions.push_back({RecordKey(id), index});
  put.writes.push_back({RecordKey(id), Encode(record), StoreLeaseId()});
  store_.Commit(std::move(put), MakeRecordCallback(id, std::move(done)));
}

void JobStore::Append(const JobId& id, StoreIndex index, const JobChunk& chunk,
                      Done<RecordOutcome> done) {
  StoreTransaction put;
  put.conditions.push_back({RecordKey(id), index});
  if (!chunk.results.empty()) {
    put.writes.push_back({NumberedKey(ResultPrefix(id), chunk.position),
                          Encode(chunk.results), StoreLeaseId()});
  }
  if (!chunk.checkpoint.empty()) {
    put.writes.push_back({CheckpointKey(id, index, chunk.checkpoint_number),
                          Encode(chunk.checkpoint), StoreLeaseId()});
  }
  const StoreTransaction::Write first = put.writes.front();
  for (const auto& write : put.writes) {
    put.conditions.push_back({write.key, StoreIndex(0)});
  }
  store_.Commit(std::move(put), [id, index, first, done = std::move(done)](
                                    const Result<StoreOutcome>& outcome) {
    if (!IsOk(outcome)) {
      done(ErrorOf(outcome));
      return;
    }
    if (const auto* ok = std::get_if<StoreCommitted>(&ValueOf(outcome))) {
      done(RecordOutcome(RecordWritten{ok->index}));
      return;
    }
    const auto& conflict = std::get<StoreConflict>(ValueOf(outcome));
    const RecordChanged changed = ToRecordChanged(id, conflict);
    const bool is_same =
        changed.current.has_value() && changed.current->index == index;
    if (is_same && HasWrite(conflict, first)) {
      // An earlier attempt, whose answer was lost, took effect.
      done(RecordOutcome(RecordWritten{index}));
      return;
    }
    done(RecordOutcome(changed));
  });
}

void JobStore::ReadRecord(const JobId& id, Done<StoredRecord> done) {
  store_.Get(RecordKey(id), [id, done = std::move(done)](
                                const Result<std::optional<KeyValue>>& read) {
    if (!IsOk(read)) {
      done(ErrorOf(read));
      return;
    }
    if (!ValueOf(read).has_value()) {
      done(Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such job"});
      return;
    }
    const auto record = ParseRecord(*ValueOf(read));
    if (!record.has_value()) {
      done(Malformed(RecordKey(id)));
      return;
    }
    done(*record);
  });
}

void JobStore::ReadResults(const JobId& id,
                           Done<std::vector<ItemResult>> done) {
  const std::string prefix = ResultPrefix(id);
  store_.List(prefix, [prefix, done = std::move(done)](
                          const Result<StoreListing>& listing) {
    if (!IsOk(listing)) {
      done(ErrorOf(listing));
      return;
    }
    std::vector<ItemResult> all;
    for (const KeyValue& item : ValueOf(listing).items) {
      if (item.key != NumberedKey(prefix, all.size())) {
        done(Malformed(item.key));
        return;
      }
      auto results = DecodeResults(item.value);
      if (!results.has_value()) {
        done(Malformed(item.key));
        return;
      }
      for (ItemResult& result : *results) {
        all.push_back(std::move(result));
      }
    }
    done(std::move(all));
  });
}

void JobStore::ReadSpec(const StoredRecord& stored, Done<JobSpec> done) {
  const std::string prefix = SpecPrefix(stored.id);
  store_.List(
      prefix, [prefix, parts = stored.record.spec_parts,
               done = std::move(done)](const Result<StoreListing>& listing) {
        if (!IsOk(listing)) {
          done(ErrorOf(listing));
          return;
        }
        std::string bytes;
        for (const KeyValue& item : ValueOf(listing).items) bytes += item.value;
        const auto spec = DecodeJobSpec(bytes);
        if (!spec.has_value() || ValueOf(listing).items.size() != parts) {
          done(Malformed(prefix));
          return;
        }
        done(*spec);
      });
}

void JobStore::ReadProgress(const JobId& id,
                            Done<std::map<ItemId, ItemProgress>> done) {
  store_.List(CheckpointPrefix(id),
              [done = std::move(done)](const Result<StoreListing>& listing) {
                if (!IsOk(listing)) {
                  done(ErrorOf(listing));
                  return;
                }
                std::vector<JobCheckpoint> all;
                for (const KeyValue& item : ValueOf(listing).items) {
                  auto checkpoint = DecodeJobCheckpoint(item.value);
                  if (!checkpoint.has_value()) {
                    LOG(ERROR) << "event=checkpoint_skipped key=" << item.key;
                    continue;
                  }
                  all.push_back(std::move(*checkpoint));
                }
                done(AssembleProgress(all));
              });
}

void JobStore::ReadJob(const StoredRecord& stored, Done<StoredJob> done) {
  // The three parts are read concurrently.
  struct Parts {
    StoredJob job;
    std::optional<Error> error;
    int remaining = 3;
  };
  const auto parts = std::make_shared<Parts>();
  parts->job.stored = stored;
  const auto finish = [parts, done = std::move(done)] {
    if (--parts->remaining > 0) return;
    if (parts->error.has_value()) {
      done(*parts->error);
      return;
    }
    done(std::move(parts->job));
  };
  ReadSpec(stored, [parts, finish](const Result<JobSpec>& spec) {
    if (IsOk(spec)) {
      parts->job.spec = ValueOf(spec);
    } else {
      parts->error = ErrorOf(spec);
    }
    finish();
  });
  ReadResults(stored.id,
              [parts, finish](const Result<std::vector<ItemResult>>& listed) {
                if (IsOk(listed)) {
                  parts->job.listed = ValueOf(listed);
                } else {
                  parts->error = ErrorOf(listed);
                }
                finish();
              });
  ReadProgress(
      stored.id,
      [parts, finish](const Result<std::map<ItemId, ItemProgress>>& progress) {
        if (IsOk(progress)) {
          parts->job.progress = ValueOf(progress);
        } else {
          parts->error = ErrorOf(progress);
        }
        finish();
      });
}

void JobStore::ListRecords(Done<std::vector<StoredRecord>> done) {
  store_.List(kRecordPrefix,
              [done = std::move(done)](const Result<StoreListing>& listing) {
                if (!IsOk(listing)) {
                  done(ErrorOf(listing));
                  return;
                }
                std::vector<StoredRecord> records;
                for (const KeyValue& item : ValueOf(listing).items) {
                  const auto record = ParseRecord(item);
                  if (record.has_value()) records.push_back(*record);
                }
                done(std::move(records));
              });
}

void JobStore::Delete(const StoredRecord& stored, Done<std::monostate> done) {
  store_.List(ChunkPrefix(stored.id), [this, stored, done = std::move(done)](
                                          const Result<StoreListing>& listing) {
    if (!IsOk(listing)) {
      done(ErrorOf(listing));
      return;
    }
    DeleteKeys(stored, ValueOf(listing).items, done);
  });
}

void JobStore::DeleteKeys(const StoredRecord& stored,
                          const std::vector<KeyValue>& chunks,
                          const Done<std::monostate>& done) {
  StoreTransaction drop;
  drop.conditions.push_back({RecordKey(stored.id), stored.index});
  const bool is_last =
      chunks.size() + stored.record.spec_parts + 2 <= kMaxTransactionEntries;
  if (is_last) {
    for (std::uint32_t i = 0; i < stored.record.spec_parts; ++i) {
      drop.removals.push_back(NumberedKey(SpecPrefix(stored.id), i));
    }
    for (const KeyValue& item : chunks) drop.removals.push_back(item.key);
    drop.removals.push_back(RecordKey(stored.id));
  } else {
    const std::size_t n = std::min(chunks.size(), kMaxTransactionEntries - 2);
    for (std::size_t i = 0; i < n; ++i) drop.removals.push_back(chunks[i].key);
  }
  store_.Commit(std::move(drop), [this, stored, is_last,
                                  done](const Result<StoreOutcome>& outcome) {
    if (!IsOk(outcome)) {
      done(ErrorOf(outcome));
    } else if (is_last ||
               std::holds_alternative<StoreConflict>(ValueOf(outcome))) {
      done(OkStatus());
    } else {
      Delete(stored, done);
    }
  });
}

}  // namespace briarspread::batch
