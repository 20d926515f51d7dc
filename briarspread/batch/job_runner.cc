#include "briarspread/batch/job_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/batch/item_order.h"
#include "briarspread/core/rendezvous.h"

namespace briarspread::batch {
namespace {

/// Engines that an item remembers as bad; the oldest are tried again.
constexpr std::size_t kMaxAvoided = 2;
/// A job that its trainer never ends is kept so many status times.
constexpr int kOpenStatusTimes = 10;

/// Gives a job's open items the text that an earlier owner had of them.
void CarryInto(JobLedger& ledger,
               const std::map<ItemId, ItemProgress>& progress) {
  for (const auto& [item, text] : progress) {
    const auto i = ledger.FindItem(item);
    const bool is_open =
        i.has_value() && ledger.item(*i).phase == ItemPhase::kWaiting;
    if (is_open) ledger.Carry(*i, text);
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
      pump_timer_(context.loop),
      carry_(settings.carry_bytes),
      load_board_(settings.load_time_to_live, context.clock) {}

JobRunner::~JobRunner() = default;

void JobRunner::Start() {
  review_timer_.Every(settings_.review_interval, [this] { Review(); });
}

// --- Owning jobs

JobTerms JobRunner::TermsOf(const JobSpec& spec,
                            const JobRecord& record) const {
  JobTerms terms;
  const TimePoint now = context_.clock.Now();
  const Duration age =
      std::clamp<Duration>(context_.clock.WallNow() - record.submitted,
                           Duration(0), settings_.status_time);
  const forward::Route* route = nullptr;
  if (context_.configuration.current() != nullptr) {
    route = context_.configuration.current()->FindRoute(
        spec.host, proxy::SplitTarget(spec.path).path);
  }
  if (route == nullptr) {
    // Items whose route is gone are given up as they come up.
    terms.due = now;
    terms.gives_up = now + settings_.status_time;
    return terms;
  }
  const auto or_status_time = [this](milliseconds time) {
    return time.count() > 0 ? time : settings_.status_time;
  };
  terms.due = now - age + or_status_time(route->due);
  terms.gives_up = now - age + or_status_time(route->item_time_to_live);
  terms.max_attempts = std::max<std::uint32_t>(1, route->max_attempts);
  terms.wants_single_version = route->wants_single_version;
  return terms;
}

void JobRunner::Accept(JobSpec spec, const std::string& home_key,
                       Done<std::monostate> done) {
  const JobId id = spec.id;
  if (Owns(id)) {
    done(OkStatus());
    return;
  }
  Acceptance& acceptance =
      acceptances_.try_emplace(id, context_.loop).first->second;
  acceptance.waiters.push_back(std::move(done));
  if (acceptance.waiters.size() > 1) return;
  acceptance.record.owner = self_.name;
  acceptance.record.incarnation = self_.incarnation;
  acceptance.record.owner_endpoint = self_.peer_endpoint;
  acceptance.record.submitted = context_.clock.WallNow();
  acceptance.record.total = spec.items.size();
  acceptance.record.home_key = home_key;
  acceptance.spec = std::move(spec);
  acceptance.give_up = context_.clock.Now() + settings_.accept_patience;
  TryAccept(id);
}

void JobRunner::TryAccept(const JobId& id) {
  const auto it = acceptances_.find(id);
  if (it == acceptances_.end()) return;
  store_.Accept(
      it->second.spec, it->second.record,
      [this, id](const Result<RecordOutcome>& outcome) {
        const auto found = acceptances_.find(id);
        if (found == acceptances_.end()) return;
        Acceptance& acceptance = found->second;
        if (!IsOk(outcome)) {
          const Error& error = ErrorOf(outcome);
          if (error.verdict == Verdict::kNotRun ||
              context_.clock.Now() > acceptance.give_up) {
            FinishAccept(id, error);
            return;
          }
          // The write may have been done: the next try tells.
          acceptance.retry_timer.After(settings_.store_retry,
                                       [this, id] { TryAccept(id); });
          return;
        }
        StoredRecord stored{id, acceptance.record, StoreIndex()};
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          stored.index = ok->index;
          AddJob(stored, acceptance.spec);
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
          const bool is_own = stored.record.owner == self_.name &&
                              stored.record.incarnation == self_.incarnation;
          if (is_own && !stored.record.is_ended) {
            AddJob(stored, acceptance.spec);
            ++metrics_.jobs_accepted;
          }
        }
        listener_.OnJobRecord(stored);
        FinishAccept(id, OkStatus());
        SchedulePump();
      });
}

void JobRunner::FinishAccept(const JobId& id,
                             const Result<std::monostate>& result) {
  const auto it = acceptances_.find(id);
  if (it == acceptances_.end()) return;
  const auto waiters = std::move(it->second.waiters);
  acceptances_.erase(it);
  if (!IsOk(result)) {
    LOG(WARNING) << "event=job_not_accepted job=" << id
                 << " verdict=" << ToString(ErrorOf(result).verdict)
                 << " reason=\"" << ErrorOf(result).message << "\"";
  }
  for (const auto& done : waiters) done(result);
}

JobRunner::OwnedJob& JobRunner::AddJob(const StoredRecord& stored,
                                       const JobSpec& spec) {
  const TimePoint now = context_.clock.Now();
  const JobTerms terms = TermsOf(spec, stored.record);
  const auto [it, is_new] = jobs_.try_emplace(
      stored.id, context_.loop, spec, terms, settings_.checkpoint_events, now);
  OwnedJob& job = it->second;
  job.record = stored.record;
  job.index = stored.index;
  job.delete_after = now + kOpenStatusTimes * settings_.status_time;
  const auto& items = job.ledger.spec().items;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto progress = carry_.Take(items[i]);
    if (!progress.has_value()) continue;
    job.ledger.Carry(i, *progress);
    ++metrics_.items_carried;
  }
  return job;
}

void JobRunner::Adopt(const StoredRecord& stored, const JobHandover& handover,
                      Done<std::monostate> done) {
  JobRecord record = stored.record;
  record.owner = self_.name;
  record.incarnation = self_.incarnation;
  record.owner_endpoint = self_.peer_endpoint;
  store_.Rewrite(
      stored.id, record, stored.index,
      [this, id = stored.id, record, handover,
       done = std::move(done)](const Result<RecordOutcome>& outcome) {
        if (!IsOk(outcome)) {
          done(ErrorOf(outcome));
          return;
        }
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          // From here on no earlier owner can list a result.
          LoadAdopted(StoredRecord{id, record, ok->index}, handover, done);
          return;
        }
        const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
        if (!changed.current.has_value()) {
          listener_.OnJobDeleted(id);
          done(Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such job"});
          return;
        }
        listener_.OnJobRecord(*changed.current);
        const JobRecord& now = changed.current->record;
        if (now.owner == self_.name && now.incarnation == self_.incarnation &&
            !Owns(id)) {
          LoadAdopted(*changed.current, handover, done);
          return;
        }
        done(OkStatus());
      });
}

void JobRunner::LoadAdopted(const StoredRecord& stored,
                            const JobHandover& handover,
                            const Done<std::monostate>& done) {
  store_.ReadJob(stored,
                 [this, stored, handover, done](const Result<StoredJob>& read) {
                   if (!IsOk(read)) {
                     // The record says that this instance owns it: a later read
                     // of the job comes here again.
                     listener_.OnJobRecord(stored);
                     done(ErrorOf(read));
                     return;
                   }
                   if (Owns(stored.id)) {
                     done(OkStatus());
                     return;
                   }
                   const StoredJob& loaded = ValueOf(read);
                   OwnedJob& job = AddJob(stored, loaded.spec);
                   job.ledger.Restore(loaded.listed);
                   CarryInto(job.ledger, loaded.progress);
                   CarryInto(job.ledger, handover.progress);
                   ++metrics_.jobs_adopted;
                   LOG(INFO) << "event=job_adopted job=" << stored.id
                             << " listed=" << loaded.listed.size()
                             << " carried=" << handover.progress.size()
                             << " kept=" << loaded.progress.size();
                   listener_.OnJobRecord(stored);
                   done(OkStatus());
                   SchedulePump();
                 });
}

std::vector<JobId> JobRunner::OpenJobs() const {
  std::vector<JobId> open;
  for (const auto& [id, job] : jobs_) {
    if (!job.record.is_ended && !job.ledger.is_all_listed()) open.push_back(id);
  }
  return open;
}

void JobRunner::StopWork(const JobId& id, OwnedJob& job) {
  const TimePoint now = context_.clock.Now();
  for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
    const ItemKey key(id, i);
    if (const auto it = runs_.find(key); it != runs_.end()) {
      it->second->Cancel();
      runs_.erase(it);
      job.ledger.RunBroken(i, now);
    }
    rewards_.erase(key);
    waiting_rewards_.erase(key);
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
  store_.Rewrite(
      id, it->second.record, it->second.index,
      [this, id](const Result<RecordOutcome>& outcome) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) return;
        if (!IsOk(outcome)) {
          found->second.listing_timer.After(settings_.store_retry,
                                            [this, id] { Reclaim(id); });
          return;
        }
        if (const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome))) {
          found->second.index = ok->index;
          Resume(id);
          return;
        }
        const auto& changed = std::get<RecordChanged>(ValueOf(outcome));
        const bool is_own =
            changed.current.has_value() &&
            changed.current->record.owner == self_.name &&
            changed.current->record.incarnation == self_.incarnation;
        if (!is_own) {
          TakeLoss(id, changed);
          return;
        }
        // An earlier try took effect.
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
      waiting_rewards_[ItemKey(id, i)] = context_.clock.Now();
    }
  }
  SchedulePump();
}

void JobRunner::Forget(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  StopWork(id, it->second);
  const Error moved{ErrorCode::kUnavailable, Verdict::kNotRun,
                    "the job is run by another instance"};
  const auto readers = std::move(it->second.readers);
  const auto enders = std::move(it->second.end_waiters);
  jobs_.erase(it);
  for (const Waiter& waiter : readers) waiter.done(moved);
  for (const auto& done : enders) done(moved);
}

void JobRunner::TakeLoss(const JobId& id, const RecordChanged& changed) {
  ++metrics_.jobs_lost;
  LOG(WARNING) << "event=job_lost job=" << id;
  Forget(id);
  if (changed.current.has_value()) {
    listener_.OnJobRecord(*changed.current);
  } else {
    listener_.OnJobDeleted(id);
  }
}

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

void JobRunner::SchedulePump() {
  if (pump_timer_.is_set()) return;
  pump_timer_.After(milliseconds(0), [this] { Pump(); });
}

void JobRunner::Pump() {
  struct Place {
    OwnedJob* job;
    std::size_t item;
    WaitingItem order;
  };
  std::vector<Place> waiting;
  for (auto& [id, job] : jobs_) {
    if (job.record.is_ended || job.is_ending || job.is_paused) continue;
    for (std::size_t i = 0; i < job.ledger.item_count(); ++i) {
      const ItemState& state = job.ledger.item(i);
      if (state.phase != ItemPhase::kWaiting) continue;
      waiting.push_back(
          {&job, i,
           WaitingItem{job.ledger.terms().due, state.is_carried,
                       job.ledger.spec().items[i].expected_tokens}});
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Place& a, const Place& b) {
                     return RunsBefore(a.order, b.order);
                   });
  // An item without engines to avoid that finds no room speaks for its job.
  std::set<const OwnedJob*> full;
  for (const Place& place : waiting) {
    const bool may_go_anywhere = !place.job->avoid.contains(place.item);
    if (may_go_anywhere && full.contains(place.job)) continue;
    if (!PlaceItem(*place.job, place.item) && may_go_anywhere) {
      full.insert(place.job);
    }
  }
  StartWaitingRewards();
}

const forward::Route* JobRunner::RouteOf(const OwnedJob& job,
                                         std::size_t i) const {
  const auto& configuration = context_.configuration.current();
  if (configuration == nullptr) return nullptr;
  const JobSpec& spec = job.ledger.spec();
  return configuration->FindRoute(spec.host,
                                  proxy::SplitTarget(spec.items[i].path).path);
}

JobRunner::EngineViews JobRunner::ViewsOf(const ServiceName& service,
                                          const ModelName& model) const {
  /// A report of others' load that is older says nothing any more.
  constexpr milliseconds kFreshLoad{500};
  /// An interval between events that is older says nothing any more.
  constexpr milliseconds kFreshInterval{4000};
  const TimePoint now = context_.clock.Now();
  const auto own_tokens = OwnTokens();
  const forward::Service* known =
      context_.configuration.current()->FindService(service);
  EngineViews views;
  for (const auto& [id, engine] : context_.directory.all()) {
    if (engine.listed.service != service) continue;
    EngineView view;
    view.id = id;
    view.slots = std::max<std::uint32_t>(
        1, engine.load.slots > 0 ? engine.load.slots : engine.listed.slots);
    view.own_in_flight = engine.counters->in_flight.load();
    if (now - engine.load.received < kFreshLoad) {
      view.reported = engine.load.running + engine.load.queued;
      view.own_at_report = engine.load.own_in_flight;
    }
    view.peer_in_flight = load_board_.LoadAt(id);
    if (known != nullptr && known->memory_tokens > 0) {
      const auto used = own_tokens.find(id);
      view.free_tokens = static_cast<std::int64_t>(known->memory_tokens) -
                         (used == own_tokens.end() ? 0 : used->second);
    }
    view.version = engine.VersionOf(model);
    view.is_open = !engine.listed.is_leaving && now >= engine.refuses_until &&
                   engine.breaker->Allows(now);
    view.is_same_region =
        engine.listed.locality.region == self_.locality.region;
    view.event_interval = engine.event_interval;
    view.is_interval_fresh = now - engine.interval_measured < kFreshInterval;
    views.push_back(view);
  }
  return views;
}

std::map<UpstreamId, std::int64_t> JobRunner::OwnTokens() const {
  std::map<UpstreamId, std::int64_t> tokens;
  for (const auto& [key, run] : runs_) {
    const auto it = jobs_.find(key.first);
    if (it == jobs_.end()) continue;
    const ItemSpec& item = it->second.ledger.spec().items[key.second];
    tokens[run->spec().engine] +=
        static_cast<std::int64_t>(item.prompt_tokens + item.expected_tokens);
  }
  return tokens;
}

EngineNeed JobRunner::NeedOf(const OwnedJob& job, std::size_t i) const {
  EngineNeed need;
  need.oldest_allowed = job.ledger.spec().oldest_allowed;
  if (const auto it = job.avoid.find(i); it != job.avoid.end()) {
    need.avoid = it->second;
  }
  const auto at = job.prompt_at.find(job.ledger.spec().items[i].group);
  if (at != job.prompt_at.end()) need.preferred = at->second;
  const ItemSpec& item = job.ledger.spec().items[i];
  need.relative_length = job.ledger.RelativeLength(i);
  need.tokens =
      static_cast<std::int64_t>(item.prompt_tokens + item.expected_tokens);
  return need;
}

bool JobRunner::PlaceItem(OwnedJob& job, std::size_t i) {
  const JobId& id = job.ledger.spec().id;
  const forward::Route* route = RouteOf(job, i);
  if (route == nullptr) {
    if (context_.configuration.current() == nullptr) return false;
    LOG(WARNING) << "event=item_given_up job=" << id
                 << " item=" << job.ledger.spec().items[i].id
                 << " reason=no_route";
    ++metrics_.items_given_up;
    job.ledger.GiveUp(i, context_.clock.Now());
    ScheduleListing(id, settings_.listing_pause);
    return true;
  }
  const std::uint64_t draw = StableHash(job.ledger.spec().items[i].id.value());
  const EngineViews views =
      ViewsOf(ChooseBackend(*route, draw), job.ledger.spec().model);
  EngineNeed need = NeedOf(job, i);
  auto chosen = placement_.Choose(need, views);
  if (!chosen.has_value() && need.avoid.size() + 1 >= views.size()) {
    // With so few engines, one that was bad is better than none.
    need.avoid.clear();
    chosen = placement_.Choose(need, views);
  }
  if (!chosen.has_value()) return false;
  const UpstreamId& engine = views[*chosen].id;
  const forward::KnownUpstream* known = context_.directory.Find(engine);
  if (known == nullptr || !known->breaker->Admit(context_.clock.Now())) {
    return false;
  }
  const ItemState& state = job.ledger.item(i);
  if (!state.progress.Fits(need.oldest_allowed,
                           job.ledger.terms().wants_single_version)) {
    job.ledger.DropText(i);
  }
  job.ledger.StartRun(i);
  job.prompt_at[job.ledger.spec().items[i].group] = engine;
  auto run =
      std::make_unique<ItemRun>(context_, MakeRunSpec(job, i, engine), *this);
  ItemRun& started = *run;
  runs_[ItemKey(id, i)] = std::move(run);
  started.Start();
  return true;
}

ItemRunSpec JobRunner::MakeRunSpec(const OwnedJob& job, std::size_t i,
                                   const UpstreamId& engine) const {
  /// Urgency of items whose job is due within `kUrgentTime`, and of others.
  constexpr char kUrgent[] = "3";
  constexpr char kNormal[] = "5";
  constexpr milliseconds kUrgentTime{3000};
  const JobSpec& spec = job.ledger.spec();
  const ItemSpec& item = spec.items[i];
  ItemRunSpec run;
  run.job = spec.id;
  run.item = i;
  run.engine = engine;
  run.endpoint = context_.directory.Find(engine)->listed.endpoint;
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
  head.headers.Set("Host", spec.host);
  head.headers.Set(context_.headers.attempt_id, item.id.value());
  const bool is_urgent =
      job.ledger.terms().due - context_.clock.Now() < kUrgentTime;
  head.headers.Set(context_.headers.urgency, is_urgent ? kUrgent : kNormal);
  run.request.body = item.body;
  return run;
}

void JobRunner::OnRunStarted(ItemRun&, WeightVersion) {}

bool JobRunner::OnRunEvent(ItemRun& run, const StreamEvent& event,
                           WeightVersion version) {
  const auto it = jobs_.find(run.spec().job);
  if (it == jobs_.end()) return false;
  OwnedJob& job = it->second;
  const std::size_t i = run.spec().item;
  if (job.ledger.AddEvent(i, event, version) == ItemProgress::Outcome::kGap) {
    return false;
  }
  return job.ledger.item(i).progress.Fits(
      job.ledger.spec().oldest_allowed,
      job.ledger.terms().wants_single_version);
}

void JobRunner::LogRunEnded(const ItemRun& run, RunOutcome outcome,
                            TimePoint now) const {
  const auto taken =
      std::chrono::duration_cast<milliseconds>(now - run.started());
  LOG(INFO) << "event=run_ended job=" << run.spec().job
            << " item=" << run.spec().attempt_id
            << " upstream=" << run.spec().engine
            << " outcome=" << ToString(outcome) << " ms=" << taken.count()
            << " events=" << run.events();
}

void JobRunner::OnRunEnded(ItemRun& run, RunOutcome outcome) {
  const JobId id = run.spec().job;
  const std::size_t i = run.spec().item;
  const UpstreamId engine = run.spec().engine;
  ++metrics_.runs[std::string(ToString(outcome))];
  const auto keep = std::move(runs_[ItemKey(id, i)]);
  runs_.erase(ItemKey(id, i));
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OwnedJob& job = it->second;
  const TimePoint now = context_.clock.Now();
  switch (outcome) {
    case RunOutcome::kComplete:
      if (!job.ledger.item(i).progress.has_events()) {
        job.ledger.RunBroken(i, now);
        break;
      }
      job.ledger.RunComplete(i, now);
      break;
    case RunOutcome::kFailed:
      job.ledger.RunFailed(i, now);
      break;
    case RunOutcome::kImpossible:
      job.ledger.GiveUp(i, now);
      break;
    case RunOutcome::kRefused:
    case RunOutcome::kTooOld:
      job.ledger.RunBroken(i, now);
      break;
    case RunOutcome::kBroken: {
      job.ledger.RunBroken(i, now);
      std::vector<UpstreamId>& avoid = job.avoid[i];
      avoid.push_back(engine);
      if (avoid.size() > kMaxAvoided) avoid.erase(avoid.begin());
      break;
    }
  }
  LogRunEnded(run, outcome, now);
  if (job.ledger.item(i).phase == ItemPhase::kScoring) {
    waiting_rewards_[ItemKey(id, i)] = now;
  } else if (job.ledger.item(i).phase == ItemPhase::kFinished) {
    metrics_.items_given_up += job.ledger.item(i).is_given_up;
    ScheduleListing(id, settings_.listing_pause);
  }
  SchedulePump();
}

// --- Scoring

void JobRunner::StartWaitingRewards() {
  const TimePoint now = context_.clock.Now();
  for (auto it = waiting_rewards_.begin();
       it != waiting_rewards_.end() &&
       rewards_.size() < settings_.max_rewards;) {
    if (it->second > now) {
      ++it;
      continue;
    }
    const ItemKey key = it->first;
    it = waiting_rewards_.erase(it);
    StartReward(key.first, key.second);
  }
}

void JobRunner::StartReward(const JobId& id, std::size_t i) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const auto& reward = it->second.ledger.spec().items[i].reward;
  auto run = std::make_unique<RewardRun>(
      context_, *reward, [this, id, i](const RewardOutcome& outcome) {
        OnRewardDone(id, i, outcome);
      });
  RewardRun& started = *run;
  rewards_[ItemKey(id, i)] = std::move(run);
  started.Start();
}

void JobRunner::OnRewardDone(const JobId& id, std::size_t i,
                             const RewardOutcome& outcome) {
  const ItemKey key(id, i);
  rewards_.erase(key);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobLedger& ledger = it->second.ledger;
  const TimePoint now = context_.clock.Now();
  if (!outcome.score.empty()) {
    ledger.Scored(i, outcome.score, now);
  } else {
    ledger.RewardFailed(i, outcome.upstream_errors, outcome.max_attempts, now);
    LOG(INFO) << "event=reward_failed job=" << id
              << " item=" << ledger.spec().items[i].id
              << " upstream_errors=" << outcome.upstream_errors;
  }
  if (ledger.item(i).phase == ItemPhase::kScoring) {
    waiting_rewards_[key] = now + settings_.reward_retry;
  } else {
    ScheduleListing(id, settings_.listing_pause);
  }
  SchedulePump();
}

}  // namespace briarspread::batch
