// The part of `JobRunner` that runs items.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/batch/item_order.h"
#include "briarspread/batch/job_runner.h"
#include "briarspread/core/rendezvous.h"
#include "briarspread/forward/request_authorizer.h"

namespace briarspread::batch {
namespace {

/// Maximum number of engines that an item avoids; the oldest entry is dropped
/// first, so that its engine is tried again.
constexpr std::size_t kMaxAvoidedEngines = 2;

/// Returns the number of engines on which the item's text may go on.
std::size_t CountFitting(const EngineRequirements& need,
                         const std::vector<EngineView>& engines) {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(), [&need](const EngineView& engine) {
        return need.software.value().empty() ||
               engine.software == need.software;
      }));
}

}  // namespace

// --- Running items

std::size_t JobRunner::waiting_count() const {
  std::size_t n = 0;
  for (const auto& [id, job] : jobs_) {
    for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
      n += job.ledger.item(i).phase == ItemPhase::kWaiting;
    }
  }
  return n;
}

void JobRunner::SchedulePlacement() {
  if (placement_timer_.is_set()) return;
  placement_timer_.After(milliseconds(0), [this] { PlaceWaitingItems(); });
}

void JobRunner::PlaceWaitingItems() {
  struct Place {
    OwnedJob* job;
    std::size_t item;
    WaitingItem order;
  };
  const TimePoint now = context_.clock.Now();
  std::vector<Place> waiting;
  for (auto& [id, job] : jobs_) {
    if (job.record.is_ended || job.is_ending || job.is_paused) continue;
    for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
      const ItemState& state = job.ledger.item(i);
      if (state.phase != ItemPhase::kWaiting) continue;
      if (job.placement_pauses.IsPausing(i, now)) continue;
      waiting.push_back(
          {&job, i,
           WaitingItem{job.ledger.limits().due,
                       state.is_resumed || state.progress.has_events(),
                       job.ledger.spec().items[i].expected_tokens}});
    }
  }
  if (!waiting.empty()) engine_views_.Start(EstimateOwnTokens());
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Place& a, const Place& b) {
                     return RunsBefore(a.order, b.order);
                   });
  // If an item that may run on any engine cannot be placed, neither can the
  // rest of its job's items that may.
  std::set<const OwnedJob*> full;
  for (const Place& place : waiting) {
    const bool may_go_anywhere =
        !place.job->avoided_engines.contains(place.item) &&
        !place.job->ledger.item(place.item).progress.has_events();
    if (may_go_anywhere && full.contains(place.job)) continue;
    if (!PlaceItem(*place.job, place.item) && may_go_anywhere) {
      full.insert(place.job);
    }
  }
  StartPendingRewards();
}

forward::RouteLookup JobRunner::FindRoute(const OwnedJob& job,
                                          std::size_t i) const {
  const JobSpec& spec = job.ledger.spec();
  return context_.configuration.FindRoute(
      spec.host, proxy::SplitTarget(spec.items[i].path).path,
      spec.configuration);
}

EngineViewCache::EngineTokens JobRunner::EstimateOwnTokens() const {
  EngineViewCache::EngineTokens tokens;
  for (const auto& [key, run] : runs_) {
    const auto it = jobs_.find(key.first);
    if (it == jobs_.end()) continue;
    tokens[run->spec().engine] += TokensOf(it->second, key.second);
  }
  return tokens;
}

std::int64_t JobRunner::TokensOf(const OwnedJob& job, std::size_t i) {
  const ItemSpec& item = job.ledger.spec().items[i];
  return static_cast<std::int64_t>(item.prompt_tokens + item.expected_tokens);
}

EngineRequirements JobRunner::RequirementsOf(const OwnedJob& job,
                                             std::size_t i) const {
  EngineRequirements need;
  need.oldest_allowed = job.ledger.spec().oldest_allowed;
  need.software = job.ledger.item(i).progress.software();
  if (const auto it = job.avoided_engines.find(i);
      it != job.avoided_engines.end()) {
    need.avoided_engines = it->second;
  }
  const auto at = job.prompt_engines.find(job.ledger.spec().items[i].group);
  if (at != job.prompt_engines.end()) need.preferred_engine = at->second;
  need.relative_length = job.ledger.RelativeLength(i);
  need.tokens = TokensOf(job, i);
  return need;
}

void JobRunner::RecordGivenUpItem(const OwnedJob& job, std::size_t i,
                                  const std::string& reason) {
  ++metrics_.items_given_up[reason];
  const ItemState& state = job.ledger.item(i);
  LOG(WARNING) << "event=item_given_up job=" << job.ledger.spec().id
               << " item=" << job.ledger.spec().items[i].id
               << " reason=" << reason << " failures=" << state.failures
               << " reward_failures=" << state.reward_failures
               << " events=" << state.progress.events();
}

void JobRunner::RestartIfNotResumable(OwnedJob& job, std::size_t i,
                                      const EngineViews& engines) {
  const ItemState& state = job.ledger.item(i);
  const ItemProgress& progress = state.progress;
  if (!progress.has_events()) return;
  const bool fits = progress.is_resumable() &&
                    progress.Fits(job.ledger.spec().oldest_allowed,
                                  job.ledger.limits().wants_single_version);
  const bool has_engine = std::any_of(
      engines.begin(), engines.end(), [&progress](const EngineView& engine) {
        return !engine.is_leaving && engine.software == progress.software();
      });
  if (fits && has_engine) return;
  Restart(job, i, fits ? "no_engine" : "unfit");
}

bool JobRunner::HasWaitedToResume(const ItemState& item) const {
  if (!item.progress.has_events()) return false;
  const milliseconds wait = static_cast<std::int64_t>(item.progress.events()) *
                            settings_.resume_wait_per_event;
  return context_.clock.Now() - item.phase_start >=
         std::clamp(wait, settings_.min_resume_wait, settings_.max_resume_wait);
}

void JobRunner::Restart(OwnedJob& job, std::size_t i, std::string_view reason) {
  const ItemProgress& progress = job.ledger.item(i).progress;
  ++metrics_.items_restarted;
  LOG(INFO) << "event=item_restarted job=" << job.ledger.spec().id
            << " item=" << job.ledger.spec().items[i].id
            << " events=" << progress.events()
            << " software=" << progress.software() << " reason=" << reason;
  job.ledger.ClearProgress(i);
}

void JobRunner::RequestPermits(const EngineRequirements& need,
                               const EngineViews& engines) {
  for (const EngineView& engine : engines) {
    if (engine.has_permit) continue;
    EngineView permitted = engine;
    permitted.has_permit = true;
    if (IsEligible(need, permitted) &&
        EstimatedLoad(permitted) < permitted.slots) {
      context_.limiter.RequestPermit(engine.id, forward::RequestPurpose::kItem);
    }
  }
}

std::optional<UpstreamId> JobRunner::ChooseEngine(OwnedJob& job, std::size_t i,
                                                  const ServiceName& service) {
  const EngineViews& views = engine_views_.Of(service, job.ledger.spec().model);
  RestartIfNotResumable(job, i, views);
  EngineRequirements need = RequirementsOf(job, i);
  RequestPermits(need, views);
  auto chosen = placement_.Choose(need, views);
  if (!chosen.has_value() &&
      need.avoided_engines.size() + 1 >= CountFitting(need, views)) {
    // With so few engines, an avoided engine is better than none.
    need.avoided_engines.clear();
    chosen = placement_.Choose(need, views);
  }
  if (!chosen.has_value() && HasWaitedToResume(job.ledger.item(i))) {
    need.software = SoftwareVersion();
    chosen = placement_.Choose(need, views);
    if (chosen.has_value()) Restart(job, i, "no_room");
  }
  if (!chosen.has_value()) return std::nullopt;
  return views[*chosen].id;
}

bool JobRunner::PlaceItem(OwnedJob& job, std::size_t i) {
  // The end of its last run may have made the item final.
  if (job.ledger.item(i).phase != ItemPhase::kWaiting) return false;
  const JobId& id = job.ledger.spec().id;
  const forward::RouteLookup lookup = FindRoute(job, i);
  if (std::holds_alternative<forward::RouteUnknown>(lookup)) return false;
  if (std::holds_alternative<forward::RouteAbsent>(lookup)) {
    job.ledger.GiveUp(i, context_.clock.Now());
    RecordGivenUpItem(job, i, "no_route");
    ScheduleListing(id, settings_.listing_delay);
    return true;
  }
  const forward::Route& route = *std::get<const forward::Route*>(lookup);
  const std::uint64_t draw = StableHash(job.ledger.spec().items[i].id.value());
  const auto chosen = ChooseEngine(job, i, ChooseBackend(route, draw));
  if (!chosen.has_value() || !IsRecordConfirmed(id, job)) return false;
  const UpstreamId& engine = *chosen;
  const forward::KnownUpstream* known = context_.directory.Find(engine);
  if (known == nullptr || !known->breaker->Admit(context_.clock.Now())) {
    return false;
  }
  context_.limiter.TakePermit(engine, forward::RequestPurpose::kItem);
  const ItemState& state = job.ledger.item(i);
  const TimePoint now = context_.clock.Now();
  metrics_.waiting.Record(SecondsOf(now - state.phase_start));
  job.ledger.StartRun(i, now);
  job.prompt_engines[job.ledger.spec().items[i].group] = engine;
  auto run =
      std::make_unique<ItemRun>(context_, MakeRunSpec(job, i, engine), *this);
  ItemRun& started = *run;
  runs_[ItemKey(id, i)] = std::move(run);
  started.Start();
  engine_views_.Update(engine, TokensOf(job, i));
  return true;
}

void JobRunner::SetAccount(const JobSpec& spec,
                           proxy::HeaderList& headers) const {
  const auto& configuration = context_.configuration.current();
  if (configuration == nullptr) return;
  std::optional<accounts::AccountId> account;
  if (!spec.account.value().empty()) account = spec.account;
  forward::SetAccountHeaders(*configuration, context_.headers, account,
                             headers);
}

ItemRunSpec JobRunner::MakeRunSpec(const OwnedJob& job, std::size_t i,
                                   const UpstreamId& engine) const {
  /// Urgency of items whose job is due within `kUrgentTime`, and of all others.
  constexpr char kUrgent[] = "3";
  constexpr char kNormal[] = "5";
  constexpr milliseconds kUrgentTime{3000};
  const JobSpec& spec = job.ledger.spec();
  const ItemSpec& item = spec.items[i];
  ItemRunSpec run;
  run.job = spec.id;
  run.item = i;
  run.engine = engine;
  const auto& listed = context_.directory.Find(engine)->listed;
  run.endpoint = listed.endpoint;
  run.software = listed.software;
  run.start_id = listed.start_id;
  run.attempt_id = item.id.value();
  run.model = spec.model;
  run.oldest_allowed = spec.oldest_allowed;
  const ItemProgress& progress = job.ledger.item(i).progress;
  if (progress.has_events()) run.last_event_id = progress.last_event_id();
  proxy::RequestHead& head = run.request.head;
  head.method = "POST";
  head.target = item.path;
  for (const proxy::Header& line : item.headers) {
    head.headers.Set(line.name, line.value);
  }
  head.headers.RemoveHopByHop();
  // This instance sets the resume position itself, from the item's progress.
  head.headers.Remove(context_.headers.last_event_id);
  head.headers.Set("Host", spec.host);
  head.headers.Set(context_.headers.attempt_id, item.id.value());
  SetAccount(spec, head.headers);
  const bool is_urgent =
      job.ledger.limits().due - context_.clock.Now() < kUrgentTime;
  head.headers.Set(context_.headers.urgency, is_urgent ? kUrgent : kNormal);
  run.request.body = item.body;
  return run;
}

bool JobRunner::IsSameSoftware(const ItemRun& run) const {
  const forward::KnownUpstream* engine =
      context_.directory.Find(run.spec().engine);
  return engine == nullptr || engine->listed.start_id == run.spec().start_id ||
         engine->listed.software == run.spec().software;
}

bool JobRunner::OnRunEvent(ItemRun& run, const proxy::StreamEvent& event,
                           WeightVersion version) {
  const auto it = jobs_.find(run.spec().job);
  if (it == jobs_.end()) return false;
  OwnedJob& job = it->second;
  const std::size_t i = run.spec().item;
  if (!IsSameSoftware(run)) return false;
  const ItemProgress::Outcome added =
      job.ledger.AddEvent(i, event, version, run.spec().software);
  if (added == ItemProgress::Outcome::kGap) return false;
  if (added == ItemProgress::Outcome::kOverlong) {
    // The engine may be faulty, so no other engine resumes its text.
    Restart(job, i, "overlong");
    return false;
  }
  return job.ledger.item(i).progress.Fits(
      job.ledger.spec().oldest_allowed,
      job.ledger.limits().wants_single_version);
}

void JobRunner::RecordRunEnd(const ItemRun& run, RunOutcome outcome,
                             TimePoint now) {
  const auto taken =
      std::chrono::duration_cast<milliseconds>(now - run.started());
  ++metrics_.runs[std::string(ToString(outcome))];
  metrics_.running.Record(SecondsOf(taken));
  const JobLedger& ledger = jobs_.at(run.spec().job).ledger;
  LOG(INFO) << "event=run_ended job=" << run.spec().job
            << " item=" << run.spec().attempt_id
            << " group=" << ledger.spec().items[run.spec().item].group
            << " upstream=" << run.spec().engine
            << " outcome=" << ToString(outcome) << " ms=" << taken.count()
            << " events=" << run.events() << " software=" << run.spec().software
            << " after_event=" << run.spec().last_event_id.value_or(0);
}

void JobRunner::OnRunEnded(ItemRun& run, RunOutcome outcome) {
  const JobId id = run.spec().job;
  const std::size_t i = run.spec().item;
  const UpstreamId engine = run.spec().engine;
  const auto keep = std::move(runs_[ItemKey(id, i)]);
  runs_.erase(ItemKey(id, i));
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OwnedJob& job = it->second;
  const TimePoint now = context_.clock.Now();
  if (!IsSameSoftware(run)) {
    // The engine's id belongs to another version now, and it is not known which
    // of the two wrote the last events.
    job.ledger.ClearProgress(i);
    outcome = RunOutcome::kBroken;
  }
  switch (outcome) {
    case RunOutcome::kComplete:
      if (!job.ledger.item(i).progress.has_events()) {
        job.ledger.MarkRunBroken(i, now);
        break;
      }
      job.ledger.MarkRunComplete(i, now);
      break;
    case RunOutcome::kFailed:
      job.ledger.MarkRunFailed(i, now);
      break;
    case RunOutcome::kImpossible:
      job.ledger.GiveUp(i, now);
      break;
    case RunOutcome::kRefused:
    case RunOutcome::kTooOld:
      job.ledger.MarkRunBroken(i, now);
      break;
    case RunOutcome::kBroken: {
      job.ledger.MarkRunBroken(i, now);
      std::vector<UpstreamId>& avoided = job.avoided_engines[i];
      avoided.push_back(engine);
      if (avoided.size() > kMaxAvoidedEngines) avoided.erase(avoided.begin());
      break;
    }
  }
  if (outcome == RunOutcome::kBroken && run.events() == 0) {
    job.placement_pauses.RecordEmptyRun(i, now);
  } else {
    job.placement_pauses.RecordOtherRun(i);
  }
  RecordRunEnd(run, outcome, now);
  if (job.ledger.item(i).phase == ItemPhase::kScoring) {
    pending_rewards_[ItemKey(id, i)] = now;
  } else if (job.ledger.item(i).phase == ItemPhase::kFinished) {
    if (job.ledger.item(i).is_given_up) {
      RecordGivenUpItem(job, i, std::string(ToString(outcome)));
    }
    ScheduleListing(id, settings_.listing_delay);
  }
  SchedulePlacement();
}

}  // namespace briarspread::batch
