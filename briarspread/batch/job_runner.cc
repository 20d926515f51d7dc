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

}  // namespace briarspread::batch
