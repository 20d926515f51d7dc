// The part of `JobRunner` that takes jobs on, from callers, other instances and
// the store, and gives them up.

#include <glog/logging.h>

#include <utility>

#include "briarspread/batch/job_runner.h"

namespace briarspread::batch {
namespace {

/// Restores progress of an earlier owner into the waiting items of a job.
void RestoreWaitingItems(JobLedger& ledger,
                         const std::map<ItemId, ItemProgress>& progress) {
  for (const auto& [item, text] : progress) {
    const auto i = ledger.FindItem(item);
    const bool is_open =
        i.has_value() && ledger.item(*i).phase == ItemPhase::kWaiting;
    if (is_open) ledger.RestoreProgress(*i, text);
  }
}

}  // namespace

void JobRunner::Accept(JobSpec spec, const std::string& home_key,
                       Done<std::monostate> done) {
  const JobId id = spec.id;
  if (Owns(id)) {
    done(OkStatus());
    return;
  }
  if (const Status known = CheckConfiguration(id, spec.configuration);
      !IsOk(known)) {
    done(known);
    return;
  }
  PendingAccept& acceptance =
      pending_accepts_.try_emplace(id, context_.loop).first->second;
  acceptance.callbacks.push_back(std::move(done));
  if (acceptance.callbacks.size() > 1) return;
  acceptance.record.owner = self_.name;
  acceptance.record.incarnation = self_.incarnation;
  acceptance.record.owner_endpoint = self_.peer_endpoint;
  acceptance.record.submitted = context_.clock.WallNow();
  acceptance.record.total = spec.items.size();
  acceptance.record.home_key = home_key;
  acceptance.record.account = spec.account;
  acceptance.record.model = spec.model;
  acceptance.record.configuration = spec.configuration;
  acceptance.spec = std::move(spec);
  acceptance.retry_deadline =
      context_.clock.Now() + settings_.accept_retry_timeout;
  TryAccept(id);
}

void JobRunner::TryAccept(const JobId& id) {
  const auto it = pending_accepts_.find(id);
  if (it == pending_accepts_.end()) return;
  it->second.sent = context_.clock.Now();
  store_.Accept(
      it->second.spec, it->second.record,
      [this, id](const Result<RecordOutcome>& outcome) {
        const auto found = pending_accepts_.find(id);
        if (found == pending_accepts_.end()) return;
        PendingAccept& acceptance = found->second;
        if (!IsOk(outcome)) {
          OnAcceptFailed(id, acceptance, ErrorOf(outcome));
          return;
        }
        StoredRecord stored{id, acceptance.record, StoreIndex()};
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          stored.index = ok->index;
          AddJob(stored, acceptance.spec, acceptance.sent);
          ++metrics_.jobs_accepted;
          LOG(INFO) << "event=job_accepted job=" << id
                    << " items=" << stored.record.total;
        } else {
          const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
          if (!changed.current.has_value()) {
            FinishAccept(id, Error{ErrorCode::kUnavailable,
                                   Verdict::kMayHaveRun, "record unreadable"});
            return;
          }
          stored = *changed.current;
          // The store may have results of it already, so it is loaded as every
          // job that was not accepted just now.
          if (IsOwn(stored.record) && !stored.record.is_ended) {
            Load(stored, JobHandover{}, [](const auto&) {});
          }
        }
        listener_.OnJobRecord(stored);
        FinishAccept(id, OkStatus());
        SchedulePlacement();
      });
}

void JobRunner::OnAcceptFailed(const JobId& id, PendingAccept& acceptance,
                               Error error) {
  acceptance.may_have_run |= error.verdict != Verdict::kNotRun;
  const bool is_late = context_.clock.Now() > acceptance.retry_deadline;
  if (acceptance.may_have_run && !is_late) {
    // An attempt may have taken effect; the retry finds out.
    acceptance.retry_timer.After(settings_.store_retry_delay,
                                 [this, id] { TryAccept(id); });
    return;
  }
  if (acceptance.may_have_run) error.verdict = Verdict::kMayHaveRun;
  FinishAccept(id, error);
}

void JobRunner::FinishAccept(const JobId& id,
                             const Result<std::monostate>& result) {
  const auto it = pending_accepts_.find(id);
  if (it == pending_accepts_.end()) return;
  const auto callbacks = std::move(it->second.callbacks);
  pending_accepts_.erase(it);
  if (!IsOk(result)) {
    LOG(WARNING) << "event=job_not_accepted job=" << id
                 << " verdict=" << ToString(ErrorOf(result).verdict)
                 << " reason=\"" << ErrorOf(result).message << "\"";
    if (ErrorOf(result).verdict != Verdict::kNotRun) {
      listener_.OnOwnershipUnknown(id);
    }
  }
  for (const auto& done : callbacks) done(result);
}

void JobRunner::Adopt(const StoredRecord& stored, const JobHandover& handover,
                      Done<std::monostate> done) {
  if (const Status known =
          CheckConfiguration(stored.id, stored.record.configuration);
      !IsOk(known)) {
    done(known);
    return;
  }
  JobRecord record = stored.record;
  record.owner = self_.name;
  record.incarnation = self_.incarnation;
  record.owner_endpoint = self_.peer_endpoint;
  store_.ReplaceRecord(
      stored.id, record, stored.index,
      [this, id = stored.id, record, handover,
       done = std::move(done)](const Result<RecordOutcome>& outcome) {
        if (!IsOk(outcome)) {
          if (ErrorOf(outcome).verdict != Verdict::kNotRun) {
            listener_.OnOwnershipUnknown(id);
          }
          done(ErrorOf(outcome));
          return;
        }
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          // From now on writes of earlier owners fail, so they can no longer
          // list results.
          Load(StoredRecord{id, record, ok->index}, handover, done);
          return;
        }
        const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
        if (!changed.current.has_value()) {
          listener_.OnJobDeleted(id);
          done(Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such job"});
          return;
        }
        listener_.OnJobRecord(*changed.current);
        if (IsOwn(changed.current->record) && !Owns(id)) {
          Load(*changed.current, handover, done);
          return;
        }
        done(OkStatus());
      });
}

void JobRunner::Load(const StoredRecord& stored, const JobHandover& handover,
                     const Done<std::monostate>& done) {
  if (const Status known =
          CheckConfiguration(stored.id, stored.record.configuration);
      !IsOk(known)) {
    listener_.OnJobRecord(stored);
    done(known);
    return;
  }
  loading_.insert(stored.id);
  // Another instance may end the job while it is being loaded.
  const TimePoint confirmed = context_.clock.Now();
  store_.ReadJob(stored, [this, stored, handover, confirmed,
                          done](const Result<StoredJob>& read) {
    loading_.erase(loading_.find(stored.id));
    if (!IsOk(read)) {
      // The record names this instance as the owner. The listener learns it
      // and loads the job again.
      LOG(WARNING) << "event=job_not_loaded job=" << stored.id << " reason=\""
                   << ErrorOf(read).message << "\"";
      listener_.OnJobRecord(stored);
      done(ErrorOf(read));
      return;
    }
    if (Owns(stored.id)) {
      done(OkStatus());
      return;
    }
    const StoredJob& loaded = ValueOf(read);
    OwnedJob& job = AddJob(stored, loaded.spec, confirmed);
    job.ledger.RestoreListed(loaded.listed);
    RestoreWaitingItems(job.ledger, loaded.progress);
    RestoreWaitingItems(job.ledger, handover.progress);
    GiveUpInvalidItems(stored.id, job);
    ++metrics_.jobs_adopted;
    LOG(INFO) << "event=job_adopted job=" << stored.id
              << " listed=" << loaded.listed.size()
              << " carried=" << handover.progress.size()
              << " kept=" << loaded.progress.size();
    listener_.OnJobRecord(stored);
    done(OkStatus());
    SchedulePlacement();
  });
}

void JobRunner::Reclaim(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  store_.ReplaceRecord(
      id, it->second.record, it->second.index,
      [this, id, epoch = it->second.epoch,
       sent = context_.clock.Now()](const Result<RecordOutcome>& outcome) {
        if (!IsCurrent(id, epoch)) return;
        const auto found = jobs_.find(id);
        if (!IsOk(outcome)) {
          found->second.listing_timer.After(settings_.store_retry_delay,
                                            [this, id] { Reclaim(id); });
          return;
        }
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          found->second.index = ok->index;
          found->second.record_confirmed = sent;
          Resume(id);
          return;
        }
        const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
        const bool is_own =
            changed.current.has_value() && IsOwn(changed.current->record);
        if (!is_own) {
          HandleOwnershipLoss(id, changed);
          return;
        }
        // An earlier attempt took effect.
        found->second.index = changed.current->index;
        Resume(id);
      });
}

void JobRunner::Resume(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.is_paused = false;
  for (std::size_t i = 0; i < it->second.ledger.item_count(); ++i) {
    if (it->second.ledger.item(i).phase == ItemPhase::kScoring) {
      pending_rewards_[ItemKey(id, i)] = context_.clock.Now();
    }
  }
  SchedulePlacement();
}

void JobRunner::DropJob(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  StopWork(id, it->second);
  const Error moved{ErrorCode::kUnavailable, Verdict::kNotRun,
                    "the job is run by another instance"};
  const auto pending_reads = std::move(it->second.pending_reads);
  const auto end_callbacks = std::move(it->second.end_callbacks);
  jobs_.erase(it);
  for (const PendingRead& read : pending_reads) read.done(moved);
  for (const auto& done : end_callbacks) done(moved);
}

void JobRunner::OnRecordSeen(const StoredRecord& stored) {
  const auto it = jobs_.find(stored.id);
  if (it == jobs_.end() || stored.index <= it->second.index) return;
  const bool is_own_change =
      IsOwn(stored.record) && (!stored.record.is_ended || it->second.is_ending);
  // The outcome of an own write is about to come.
  if (is_own_change) return;
  HandleOwnershipLoss(stored.id, RecordChanged{stored});
}

bool JobRunner::IsRecordConfirmed(const JobId& id, OwnedJob& job) {
  const TimePoint now = context_.clock.Now();
  if (now - job.record_confirmed <= settings_.max_record_age) return true;
  const bool is_due = now - job.confirmation_sent > settings_.max_record_age ||
                      !job.is_store_failing;
  // The outcome of a write confirms the record as well.
  if (is_due && !job.is_confirming && !job.is_writing) ReadOwnRecord(id, job);
  return job.is_store_failing;
}

void JobRunner::ReadOwnRecord(const JobId& id, OwnedJob& job) {
  job.is_confirming = true;
  job.confirmation_sent = context_.clock.Now();
  store_.ReadRecord(
      id, [this, id, epoch = job.epoch](const Result<StoredRecord>& read) {
        if (IsCurrent(id, epoch)) OnOwnRecordRead(id, read);
      });
}

void JobRunner::OnOwnRecordRead(const JobId& id,
                                const Result<StoredRecord>& read) {
  OwnedJob& job = jobs_.at(id);
  job.is_confirming = false;
  job.is_store_failing = !IsOk(read);
  if (!IsOk(read) && ErrorOf(read).code == ErrorCode::kNotFound) {
    HandleOwnershipLoss(id, RecordChanged{});
    return;
  }
  if (!IsOk(read)) {
    LOG(WARNING) << "event=record_not_confirmed job=" << id << " reason=\""
                 << ErrorOf(read).message << "\"";
  } else {
    const std::uint64_t epoch = job.epoch;
    OnRecordSeen(ValueOf(read));
    if (!IsCurrent(id, epoch)) return;
    // Items start after each confirmation, however slow the store is.
    job.record_confirmed =
        std::max(job.confirmation_sent,
                 context_.clock.Now() - settings_.max_record_age / 2);
  }
  SchedulePlacement();
}

void JobRunner::HandleOwnershipLoss(const JobId& id,
                                    const RecordChanged& changed) {
  ++metrics_.jobs_lost;
  LOG(WARNING) << "event=job_lost job=" << id;
  DropJob(id);
  if (!changed.current.has_value()) {
    listener_.OnJobDeleted(id);
    return;
  }
  listener_.OnJobRecord(*changed.current);
  const JobRecord& record = changed.current->record;
  if (IsOwn(record) && !record.is_ended) {
    // What this instance knew of the job was not what the store has.
    Load(*changed.current, JobHandover{}, [](const auto&) {});
  }
}

}  // namespace briarspread::batch
