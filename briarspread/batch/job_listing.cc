// The part of `JobRunner` that writes results and the end of jobs to the store,
// serves reads, and reviews runs and jobs.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/batch/job_runner.h"
#include "briarspread/batch/stall_timeout.h"

namespace briarspread::batch {

void JobRunner::Read(const JobId& id, std::uint64_t after, milliseconds wait,
                     Done<ResultPage> done) {
  OwnedJob& job = jobs_.at(id);
  const bool has_more = after < job.ledger.listed().size();
  if (has_more || wait.count() <= 0 || job.ledger.is_all_listed() ||
      job.record.is_ended) {
    done(job.ledger.Page(after));
    return;
  }
  job.pending_reads.push_back(
      PendingRead{after, context_.clock.Now() + wait, std::move(done)});
}

Result<std::string> JobRunner::ReadBody(const JobId& id,
                                        const ItemId& item) const {
  const JobLedger& ledger = jobs_.at(id).ledger;
  const auto i = ledger.FindItem(item);
  if (!i.has_value()) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such item"};
  }
  return ledger.spec().items[*i].body;
}

void JobRunner::ServePendingReads(OwnedJob& job) {
  const TimePoint now = context_.clock.Now();
  const std::size_t listed = job.ledger.listed().size();
  const bool is_final = job.record.is_ended || job.ledger.is_all_listed();
  std::vector<PendingRead> served;
  std::vector<PendingRead> remaining;
  for (PendingRead& read : job.pending_reads) {
    const bool is_due = read.after < listed || now >= read.deadline || is_final;
    (is_due ? served : remaining).push_back(std::move(read));
  }
  job.pending_reads = std::move(remaining);
  for (const PendingRead& read : served) {
    read.done(job.ledger.Page(read.after));
  }
}

void JobRunner::ScheduleListing(const JobId& id, Duration delay) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.is_writing) return;
  if (it->second.listing_timer.is_set()) return;
  it->second.listing_timer.After(delay, [this, id] { WriteNext(id); });
}

void JobRunner::WriteNext(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OwnedJob& job = it->second;
  if (job.is_paused) return;
  if (job.is_writing || job.record.is_ended) return;
  if (job.chunk.empty() && job.is_ending) {
    WriteEnd(id);
    return;
  }
  if (job.chunk.empty()) job.chunk = NextChunk(job);
  if (job.chunk.empty()) return;
  job.is_writing = true;
  job.last_write = context_.clock.Now();
  store_.Append(id, job.index, job.chunk,
                [this, id, epoch = job.epoch](const auto& outcome) {
                  if (IsCurrent(id, epoch)) OnChunkWritten(id, outcome);
                });
}

JobChunk JobRunner::NextChunk(const OwnedJob& job) const {
  const TimePoint now = context_.clock.Now();
  JobChunk chunk;
  chunk.position = job.ledger.listed().size();
  chunk.checkpoint_number = job.next_checkpoint;
  chunk.results = job.ledger.ResultsToList(now, settings_.max_listing_wait);
  const bool is_late = now - job.last_write >= settings_.checkpoint_interval;
  if (chunk.results.empty() && !is_late) return chunk;
  for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
    const ItemState& state = job.ledger.item(i);
    if (state.phase == ItemPhase::kListed || state.is_given_up) continue;
    const auto part = job.checkpoint_plan.PartFor(job.ledger.spec().items[i].id,
                                                  state.progress);
    if (part.has_value()) chunk.checkpoint.push_back(*part);
  }
  chunk.checkpoint =
      LimitCheckpoint(std::move(chunk.checkpoint), kMaxJobValueBytes);
  return chunk;
}

bool JobRunner::IsCurrent(const JobId& id, std::uint64_t epoch) const {
  const auto it = jobs_.find(id);
  return it != jobs_.end() && it->second.epoch == epoch;
}

JobRunner::OwnedJob* JobRunner::FinishWrite(
    const JobId& id, const std::string& what,
    const Result<RecordOutcome>& outcome) {
  OwnedJob& job = jobs_.at(id);
  job.is_writing = false;
  job.is_store_failing = !IsOk(outcome);
  if (IsOk(outcome)) return &job;
  LOG(WARNING) << "event=" << what << "_delayed job=" << id << " reason=\""
               << ErrorOf(outcome).message << "\"";
  ScheduleListing(id, settings_.store_retry_delay);
  return nullptr;
}

WeightVersion JobRunner::NewestVersion(const ModelName& model) const {
  WeightVersion newest;
  for (const auto& [id, engine] : context_.directory.all()) {
    newest = std::max(newest, engine.VersionOf(model));
  }
  return newest;
}

void JobRunner::RecordListedResults(const OwnedJob& job,
                                    const std::vector<ItemResult>& results) {
  const TimePoint now = context_.clock.Now();
  const JobSpec& spec = job.ledger.spec();
  const WeightVersion newest = NewestVersion(spec.model);
  for (const ItemResult& result : results) {
    if (result.versions.empty()) continue;
    const WeightVersion oldest = result.versions.front();
    ++metrics_.staleness[newest > oldest ? newest.value() - oldest.value() : 0];
  }
  metrics_.items_listed += results.size();
  if (!results.empty()) {
    LOG(INFO) << "event=results_listed job=" << spec.id
              << " first=" << job.ledger.listed().size() - results.size()
              << " results=" << results.size();
  }
  const auto to_due =
      std::chrono::duration_cast<milliseconds>(job.ledger.limits().due - now);
  for (const ItemGroup& group : job.ledger.GroupsCompletedBy(results)) {
    ++(to_due.count() >= 0 ? metrics_.groups_in_time : metrics_.groups_late);
    LOG(INFO) << "event=group_listed job=" << spec.id << " group=" << group
              << " ms_to_due=" << to_due.count();
  }
}

void JobRunner::RecordTrainerWait(OwnedJob& job) {
  if (job.is_target_reached) return;
  const std::uint64_t wanted = job.ledger.spec().target_groups;
  if (job.ledger.CountCompleteGroups() < wanted) return;
  job.is_target_reached = true;
  metrics_.trainer_wait.Record(
      SecondsOf(context_.clock.Now() - job.times.owned_since));
}

void JobRunner::DropRefusedWrite(OwnedJob& job, const Error& error) {
  LOG(ERROR) << "event=chunk_refused job=" << job.ledger.spec().id
             << " results=" << job.chunk.results.size()
             << " checkpoint_parts=" << job.chunk.checkpoint.size()
             << " reason=\"" << error.message << "\"";
  job.chunk.checkpoint.clear();
  // The end of the job does not need the results.
  if (job.is_ending) job.chunk = {};
}

void JobRunner::OnChunkWritten(const JobId& id,
                               const Result<RecordOutcome>& outcome) {
  if (!IsOk(outcome) && ErrorOf(outcome).code == ErrorCode::kInvalidArgument) {
    DropRefusedWrite(jobs_.at(id), ErrorOf(outcome));
  }
  OwnedJob* found = FinishWrite(id, "listing", outcome);
  if (found == nullptr) return;
  OwnedJob& job = *found;
  if (const auto* changed = std::get_if<RecordChanged>(&ValueOf(outcome))) {
    HandleOwnershipLoss(id, *changed);
    return;
  }
  job.record_confirmed = job.last_write;
  SchedulePlacement();
  ++metrics_.chunks_written;
  for (const ItemResult& result : job.chunk.results) {
    const auto i = job.ledger.FindItem(result.id);
    if (!i.has_value()) continue;
    metrics_.listing.Record(
        SecondsOf(context_.clock.Now() - job.ledger.item(*i).phase_start));
  }
  job.ledger.MarkListed(job.chunk.results);
  RecordListedResults(job, job.chunk.results);
  RecordTrainerWait(job);
  job.checkpoint_plan.MarkWritten(job.chunk.checkpoint);
  if (!job.chunk.checkpoint.empty()) ++job.next_checkpoint;
  job.chunk = JobChunk{};
  ServePendingReads(job);
  ScheduleListing(
      id, job.is_ending ? Duration(0) : Duration(settings_.listing_delay));
}

void JobRunner::End(const JobId& id, Done<std::monostate> done) {
  OwnedJob& job = jobs_.at(id);
  if (job.record.is_ended) {
    done(OkStatus());
    return;
  }
  job.end_callbacks.push_back(std::move(done));
  if (job.is_ending) return;
  job.is_ending = true;
  const auto& items = job.ledger.spec().items;
  StopWork(id, job);
  for (std::size_t i = 0; i < items.size(); ++i) {
    progress_cache_.Put(items[i], job.ledger.item(i).progress);
  }
  if (job.is_writing) return;
  job.listing_timer.Cancel();
  ScheduleListing(id, Duration(0));
}

void JobRunner::WriteEnd(const JobId& id) {
  OwnedJob& job = jobs_.at(id);
  job.is_writing = true;
  JobRecord record = job.record;
  record.is_ended = true;
  store_.ReplaceRecord(id, record, job.index,
                       [this, id, epoch = job.epoch](const auto& outcome) {
                         if (IsCurrent(id, epoch)) OnEndWritten(id, outcome);
                       });
}

void JobRunner::OnEndWritten(const JobId& id,
                             const Result<RecordOutcome>& outcome) {
  OwnedJob* found = FinishWrite(id, "end", outcome);
  if (found == nullptr) return;
  OwnedJob& job = *found;
  if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
    job.index = ok->index;
  } else {
    const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
    const bool is_own_end = changed.current.has_value() &&
                            changed.current->record.is_ended &&
                            IsOwn(changed.current->record);
    if (!is_own_end) {
      HandleOwnershipLoss(id, changed);
      return;
    }
    job.index = changed.current->index;
  }
  job.record.is_ended = true;
  job.is_ending = false;
  job.delete_after = context_.clock.Now() + settings_.status_time;
  ++metrics_.jobs_ended;
  metrics_.groups_wanted += job.ledger.spec().target_groups;
  LOG(INFO) << "event=job_ended job=" << id
            << " listed=" << job.ledger.listed().size()
            << " groups=" << job.ledger.CountCompleteGroups()
            << " wanted=" << job.ledger.spec().target_groups;
  listener_.OnJobRecord(StoredRecord{id, job.record, job.index});
  const auto callbacks = std::move(job.end_callbacks);
  job.end_callbacks.clear();
  ServePendingReads(job);
  for (const auto& done : callbacks) done(OkStatus());
}

// --- Review

bool JobRunner::IsStalled(const ItemRun& run, TimePoint now) const {
  const auto it = jobs_.find(run.spec().job);
  const forward::KnownUpstream* engine =
      context_.directory.Find(run.spec().engine);
  const Duration interval =
      engine == nullptr ? Duration(0) : engine->event_interval;
  std::size_t stalled_runs = 0;
  if (it != jobs_.end()) {
    const auto cut = it->second.stalled_run_counts.find(run.spec().item);
    if (cut != it->second.stalled_run_counts.end()) stalled_runs = cut->second;
  }
  return now - run.last_event() >
         StallTimeout(settings_.min_stall_timeout, interval, stalled_runs);
}

bool JobRunner::ShouldMove(const ItemRun& run, TimePoint now) {
  if (IsStalled(run, now)) return true;
  if (run.events() < 2 || now - run.started() < settings_.min_run_time) {
    return false;
  }
  const auto it = jobs_.find(run.spec().job);
  if (it == jobs_.end()) return false;
  const forward::RouteLookup lookup = FindRoute(it->second, run.spec().item);
  if (!std::holds_alternative<const forward::Route*>(lookup)) return false;
  const forward::KnownUpstream* engine =
      context_.directory.Find(run.spec().engine);
  if (engine == nullptr) return false;
  const EngineViews& views =
      engine_views_.Of(engine->listed.service, it->second.ledger.spec().model);
  const auto at = std::find_if(
      views.begin(), views.end(),
      [&](const EngineView& view) { return view.id == run.spec().engine; });
  if (at == views.end()) return false;
  return placement_.IsWorthMoving(static_cast<std::size_t>(at - views.begin()),
                                  RequirementsOf(it->second, run.spec().item),
                                  views);
}

void JobRunner::MoveRun(const ItemKey& key) {
  ItemRun& run = *runs_.at(key);
  ++metrics_.runs_moved;
  const bool is_stalled = IsStalled(run, context_.clock.Now());
  if (const auto it = jobs_.find(key.first); is_stalled && it != jobs_.end()) {
    ++it->second.stalled_run_counts[key.second];
  }
  LOG(INFO) << "event=run_moved job=" << key.first
            << " upstream=" << run.spec().engine << " events=" << run.events()
            << " is_silent=" << is_stalled;
  const RunOutcome outcome = run.OutcomeIfEnded();
  const UpstreamId engine = run.spec().engine;
  run.Cancel();
  OnRunEnded(run, outcome);
  // The item is placed before the next run is reviewed, so that the review sees
  // the slot that it takes.
  const auto it = jobs_.find(key.first);
  if (it == jobs_.end()) return;
  engine_views_.Update(engine, -TokensOf(it->second, key.second));
  PlaceItem(it->second, key.second);
}

void JobRunner::ReviewRuns(TimePoint now) {
  std::vector<ItemKey> all;
  for (const auto& [key, run] : runs_) all.push_back(key);
  if (!all.empty()) engine_views_.Start(EstimateOwnTokens());
  for (const ItemKey& key : all) {
    const auto it = runs_.find(key);
    if (it != runs_.end() && ShouldMove(*it->second, now)) MoveRun(key);
  }
}

void JobRunner::ExpireItems(const JobId& id, OwnedJob& job, TimePoint now) {
  if (now < job.ledger.limits().give_up_time) return;
  StopWork(id, job);
  for (const std::size_t i : job.ledger.Expire(now)) {
    RecordGivenUpItem(job, i, "time_to_live");
  }
}

void JobRunner::ReviewJob(const JobId& id, OwnedJob& job, TimePoint now) {
  if (!job.record.is_ended && !job.is_ending) {
    ExpireItems(id, job, now);
    ScheduleListing(id, settings_.listing_delay);
  }
  ServePendingReads(job);
}

void JobRunner::Review() {
  const TimePoint now = context_.clock.Now();
  UpdateLimits();
  ReviewRuns(now);
  std::vector<JobId> all;
  for (const auto& [id, job] : jobs_) all.push_back(id);
  for (const JobId& id : all) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) ReviewJob(id, it->second, now);
  }
  for (const JobId& id : all) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || now < it->second.delete_after) continue;
    const StoredRecord stored{id, it->second.record, it->second.index};
    DropJob(id);
    store_.Delete(stored, [this, id](const Result<std::monostate>& deleted) {
      if (IsOk(deleted)) listener_.OnJobDeleted(id);
    });
  }
  SchedulePlacement();
}

}  // namespace briarspread::batch
