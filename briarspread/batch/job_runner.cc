#include "briarspread/batch/job_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/batch/job_validation.h"

namespace briarspread::batch {
namespace {

/// A job that its trainer never ends is deleted after this many times the
/// status time.
constexpr int kUnendedJobRetentionFactor = 10;

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

JobRunner::JobRunner(forward::ForwardContext& context, JobStore& store,
                     const JobRunnerSettings& settings,
                     const InstanceRecord& self, Listener& listener)
    : context_(context),
      store_(store),
      settings_(settings),
      self_(self),
      listener_(listener),
      placement_(settings.placement),
      review_timer_(context.loop),
      placement_timer_(context.loop),
      progress_cache_(settings.progress_cache_bytes),
      peer_loads_(settings.load_time_to_live, context.clock),
      engine_views_(context, peer_loads_, self) {}

JobRunner::~JobRunner() = default;

void JobRunner::Start() {
  review_timer_.Every(settings_.review_interval, [this] { Review(); });
  context_.limiter.SetOnItemPermit([this] { SchedulePlacement(); });
}

Status JobRunner::CheckConfiguration(
    const JobId& id, forward::ConfigurationVersion needed) const {
  const forward::ConfigurationVersion version = configuration_version();
  if (version.value() > 0 && version >= needed) return OkStatus();
  LOG(WARNING) << "event=configuration_missing job=" << id
               << " version=" << version << " needed=" << needed;
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "the configuration that the job needs is not read yet"};
}

JobLimits JobRunner::LimitsOf(const JobSpec& spec,
                              const JobTimes& times) const {
  JobLimits limits;
  const forward::RouteLookup lookup = context_.configuration.FindRoute(
      spec.host, proxy::SplitTarget(spec.path).path, spec.configuration);
  const auto* route = std::get_if<const forward::Route*>(&lookup);
  if (route == nullptr) {
    // Items without a route are given up when they are placed.
    limits.due = times.submitted;
    limits.give_up_time = times.owned_since + settings_.status_time;
    return limits;
  }
  const auto or_status_time = [this](milliseconds time) {
    return time.count() > 0 ? time : settings_.status_time;
  };
  limits.due = times.submitted + or_status_time((*route)->due);
  // Items may be given up then, and never too soon because of two clocks.
  limits.give_up_time =
      times.owned_since + or_status_time((*route)->item_time_to_live);
  limits.max_attempts = std::max<std::uint32_t>(1, (*route)->max_attempts);
  limits.wants_single_version = (*route)->wants_single_version;
  return limits;
}

void JobRunner::UpdateLimits() {
  if (limits_version_ == configuration_version()) return;
  limits_version_ = configuration_version();
  for (auto& [id, job] : jobs_) {
    const JobSpec& spec = job.ledger.spec();
    const bool has_route = std::holds_alternative<const forward::Route*>(
        context_.configuration.FindRoute(
            spec.host, proxy::SplitTarget(spec.path).path, spec.configuration));
    if (has_route) job.ledger.SetLimits(LimitsOf(spec, job.times));
  }
}

bool JobRunner::IsOwn(const JobRecord& record) const {
  return record.owner == self_.name && record.incarnation == self_.incarnation;
}

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

JobRunner::OwnedJob& JobRunner::AddJob(const StoredRecord& stored,
                                       const JobSpec& spec,
                                       TimePoint confirmed) {
  const TimePoint now = context_.clock.Now();
  const Duration age =
      std::clamp<Duration>(context_.clock.WallNow() - stored.record.submitted,
                           Duration(0), settings_.status_time);
  const JobTimes times{now - age, now};
  const auto [it, is_new] =
      jobs_.try_emplace(stored.id, context_.loop, spec, LimitsOf(spec, times),
                        settings_.events_per_checkpoint, now);
  OwnedJob& job = it->second;
  job.times = times;
  job.epoch = ++last_epoch_;
  job.record = stored.record;
  job.index = stored.index;
  job.record_confirmed = confirmed;
  job.delete_after = now + kUnendedJobRetentionFactor * settings_.status_time;
  const auto& items = job.ledger.spec().items;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto progress = progress_cache_.Take(items[i]);
    if (!progress.has_value()) continue;
    job.ledger.RestoreProgress(i, *progress);
    ++metrics_.items_carried;
  }
  return job;
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

void JobRunner::GiveUpInvalidItems(const JobId& id, OwnedJob& job) {
  const auto& items = job.ledger.spec().items;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (job.ledger.item(i).phase != ItemPhase::kWaiting) continue;
    if (!FindInvalidField(items[i]).has_value()) continue;
    job.ledger.GiveUp(i, context_.clock.Now());
    RecordGivenUpItem(job, i, "invalid");
    ScheduleListing(id, settings_.listing_delay);
  }
}

std::vector<JobId> JobRunner::OpenJobs() const {
  std::vector<JobId> open;
  for (const auto& [id, job] : jobs_) {
    if (!job.record.is_ended && !job.ledger.is_all_listed()) open.push_back(id);
  }
  return open;
}

Duration JobRunner::OldestOpenJob() const {
  Duration oldest{0};
  for (const JobId& id : OpenJobs()) {
    oldest = std::max<Duration>(
        oldest, context_.clock.Now() - jobs_.at(id).times.owned_since);
  }
  return oldest;
}

void JobRunner::StopWork(const JobId& id, OwnedJob& job) {
  const TimePoint now = context_.clock.Now();
  for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
    const ItemKey key(id, i);
    if (const auto it = runs_.find(key); it != runs_.end()) {
      it->second->Cancel();
      runs_.erase(it);
      job.ledger.MarkRunBroken(i, now);
    }
    rewards_.erase(key);
    pending_rewards_.erase(key);
  }
}

JobHandover JobRunner::PrepareHandover(const JobId& id) {
  OwnedJob& job = jobs_.at(id);
  job.is_paused = true;
  StopWork(id, job);
  JobHandover handover;
  for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
    const ItemState& state = job.ledger.item(i);
    if (state.phase == ItemPhase::kListed || !state.progress.has_events()) {
      continue;
    }
    handover.progress.emplace(job.ledger.spec().items[i].id, state.progress);
  }
  return handover;
}

StoredRecord JobRunner::RecordOf(const JobId& id) const {
  const OwnedJob& job = jobs_.at(id);
  return StoredRecord{id, job.record, job.index};
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
