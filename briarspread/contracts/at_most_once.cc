#include "briarspread/contracts/at_most_once.h"

#include <utility>

namespace briarspread {
namespace {

/// The epoch of the first table. A home of this term has no earlier terms.
const Epoch kFirstEpoch(1);

Error Unavailable(const std::string& message) {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun, message,
               milliseconds(1000)};
}

}  // namespace

AtMostOnce::AtMostOnce(HomeServiceSettings settings, ProcessId self,
                       KeyValueStore& store, StandbyClient& standby_client,
                       const Clock& clock)
    : settings_(settings),
      self_(std::move(self)),
      tables_(store),
      log_(store),
      standby_client_(standby_client),
      clock_(clock) {}

OperationId AtMostOnce::NextOperation() {
  std::lock_guard lock(mutex_);
  return OperationId("homes." + self_.instance.value() + "." +
                     std::to_string(self_.incarnation.value()) + "." +
                     std::to_string(++last_operation_));
}

Status AtMostOnce::CreateTable(const std::vector<Home>& homes) {
  const auto stored = tables_.Read();
  if (!IsOk(stored)) return ErrorOf(stored);
  if (ValueOf(stored).index == StoreIndex(0)) {
    HomeTable first{kFirstEpoch, NextOperation(), homes};
    for (Home& home : first.homes) home.term = kFirstEpoch;
    Status written = tables_.Replace(StoreIndex(0), first);
    if (!IsOk(written) && ErrorOf(written).code != ErrorCode::kConflict) {
      return written;
    }
  }
  return Refresh();
}

Status AtMostOnce::Refresh() {
  const auto stored = tables_.Read();
  if (!IsOk(stored)) return ErrorOf(stored);
  ApplyTable(ValueOf(stored).table);
  return OkStatus();
}

void AtMostOnce::ApplyTable(const HomeTable& table) {
  std::lock_guard lock(mutex_);
  if (table.epoch <= table_.epoch) return;
  table_ = table;
  for (const Home& home : table_.homes) {
    const auto it = services_.find(home.name);
    if (it != services_.end() && home.owner != self_) it->second->Depose();
    const bool is_first = home.term == kFirstEpoch && home.owner == self_;
    if (!is_first || it != services_.end()) continue;
    // The service of a later term is created only by `TakeOver`, which reads
    // the claims of the earlier terms.
    ClaimHome owned(settings_.home, {home.name, home.term, self_}, home.standby,
                    {}, TimePoint());
    services_[home.name] = std::make_shared<HomeService>(
        settings_, HomeServiceDependencies{&log_, &standby_client_, &clock_},
        std::move(owned), KeyTable(settings_.keys), home.standby);
  }
}

HomeTable AtMostOnce::table() const {
  std::lock_guard lock(mutex_);
  return table_;
}

std::shared_ptr<HomeService> AtMostOnce::ServiceOf(const HomeName& home) const {
  std::lock_guard lock(mutex_);
  const auto it = services_.find(home);
  return it == services_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<HomeService>> AtMostOnce::Services() const {
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<HomeService>> services;
  for (const auto& [name, service] : services_) services.push_back(service);
  return services;
}

ClaimDecision AtMostOnce::Begin(const RequestKey& key, Fingerprint fingerprint,
                                Epoch created_in, TimePoint deadline) {
  if (!IsValidKey(key.value())) {
    return Refused{Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                         "an idempotency key has 1 to 128 printable ASCII "
                         "characters"}};
  }
  Home home;
  Epoch epoch;
  {
    std::lock_guard lock(mutex_);
    epoch = table_.epoch;
    const Home* found = table_.HomeOf(key);
    if (found == nullptr) {
      return Refused{Unavailable("no home of idempotency keys is known yet")};
    }
    home = *found;
  }
  const auto service = ServiceOf(home.name);
  if (service == nullptr || service->is_deposed()) {
    return NotOwner{epoch, home};
  }
  ClaimDecision decision =
      service->Begin({key, fingerprint}, created_in, deadline);
  if (std::holds_alternative<NotOwner>(decision)) return NotOwner{epoch, home};
  return decision;
}

void AtMostOnce::Finish(const RequestKey& key, KeyedOutcome outcome) {
  HomeName name;
  {
    std::lock_guard lock(mutex_);
    const Home* home = table_.HomeOf(key);
    assert(home != nullptr);
    name = home->name;
  }
  const auto service = ServiceOf(name);
  assert(service != nullptr);
  service->Finish(key, std::move(outcome));
}

ClaimBatchReply AtMostOnce::OnClaimBatch(const ClaimBatch& batch) {
  std::lock_guard lock(mutex_);
  ClaimBatchReply reply;
  reply.sequence = batch.sequence;
  reply.incarnation = self_.incarnation;
  const Home* home = table_.Find(batch.home);
  auto it = copies_.find(batch.home);
  const bool is_superseded =
      (home != nullptr && home->term > batch.term) ||
      (it != copies_.end() && it->second.term > batch.term);
  if (is_superseded) {
    reply.outcome = ClaimBatchOutcome::kDeposed;
    return reply;
  }
  if (it == copies_.end() || it->second.term < batch.term) {
    if (!batch.is_reset) {
      reply.outcome = ClaimBatchOutcome::kNotInSync;
      return reply;
    }
    StandbyCopy copy{
        batch.term, ClaimStandby(settings_.home.standby, batch.home, batch.term,
                                 self_.incarnation)};
    it = copies_.insert_or_assign(batch.home, std::move(copy)).first;
  }
  const TimePoint now = clock_.Now();
  it->second.claims.Expire(now - settings_.keys.resend_window);
  return it->second.claims.OnBatch(batch, now);
}

/// Fences this process's copy of the claims of the home's current term and
/// returns the claims. Returns nothing if there is no such copy in sync.
std::optional<std::vector<Claim>> AtMostOnce::FenceCopy(const Home& home) {
  std::lock_guard lock(mutex_);
  const auto it = copies_.find(home.name);
  const bool has_copy = it != copies_.end() && it->second.term == home.term &&
                        it->second.claims.is_synced();
  if (!has_copy) return std::nullopt;
  it->second.claims.Fence();
  return it->second.claims.Claims();
}

bool AtMostOnce::IsServing(const HomeName& home) const {
  const auto service = ServiceOf(home);
  return service != nullptr && !service->is_deposed();
}

StandbyEvidence AtMostOnce::EvidenceOf(const SealedLog& log, bool has_copy,
                                       bool is_standby_dead) const {
  if (!log.standby.has_value()) return StandbyEvidence::kNone;
  if (has_copy && *log.standby == self_) {
    return StandbyEvidence::kOwnFencedCopy;
  }
  // An earlier process of this instance has ended.
  const bool is_earlier_self = log.standby->instance == self_.instance &&
                               log.standby->incarnation != self_.incarnation;
  return is_standby_dead || is_earlier_self ? StandbyEvidence::kProcessDead
                                            : StandbyEvidence::kNone;
}

bool AtMostOnce::IsCurrentOwner(const Home& home) const {
  const auto service = ServiceOf(home.name);
  return home.owner == self_ && service != nullptr &&
         service->term() == home.term && !service->is_deposed() &&
         service->mode() != ClaimHome::Mode::kSolo;
}

Status AtMostOnce::TakeOver(const HomeName& name, bool is_standby_dead,
                            const InstanceId& next_standby) {
  std::lock_guard takeover_lock(takeover_mutex_);
  const auto stored = tables_.Read();
  if (!IsOk(stored)) return ErrorOf(stored);
  HomeTable next = ValueOf(stored).table;
  const Home* old = next.Find(name);
  if (old == nullptr) {
    return Error{ErrorCode::kNotFound, Verdict::kNotRun,
                 "there is no home named " + name.value()};
  }
  const Home before = *old;
  if (IsCurrentOwner(before)) return OkStatus();
  const auto copy = FenceCopy(before);
  const auto sealed = log_.Seal(name, before.term, NextOperation());
  if (!IsOk(sealed)) return ErrorOf(sealed);
  const auto decision = DecideTakeover(
      ValueOf(sealed),
      EvidenceOf(ValueOf(sealed), copy.has_value(), is_standby_dead));
  if (decision == TakeoverDecision::kBlocked) {
    return Unavailable("the standby of " + name.value() +
                       " does not respond and may still commit claims");
  }
  // The logs of all terms so far are sealed, so no claim can be added after
  // this read.
  const auto logged = log_.ReadAllTerms(name);
  if (!IsOk(logged)) return ErrorOf(logged);
  next.epoch = Epoch(next.epoch.value() + 1);
  next.operation = NextOperation();
  Home after{name, self_, next.epoch, next_standby};
  for (Home& home : next.homes) {
    if (home.name == name) home = after;
  }
  Status replaced = tables_.Replace(ValueOf(stored).index, next);
  if (!IsOk(replaced)) return replaced;
  Status adopted =
      BecomeOwner(after, ValueOf(logged), copy.value_or(std::vector<Claim>()),
                  decision == TakeoverDecision::kGap);
  ApplyTable(next);
  return adopted;
}

Status AtMostOnce::BecomeOwner(const Home& home,
                               const std::vector<Claim>& logged,
                               const std::vector<Claim>& held, bool has_gap) {
  const HomeTerm term{home.name, home.term, self_};
  std::shared_ptr<HomeService> service = ServiceOf(home.name);
  const bool is_solo =
      service != nullptr && service->mode() == ClaimHome::Mode::kSolo;
  if (!is_solo) {
    KeyTable keys(settings_.keys);
    keys.AddClaims(held, clock_.Now());
    service = std::make_shared<HomeService>(
        settings_, HomeServiceDependencies{&log_, &standby_client_, &clock_},
        ClaimHome::Solo(settings_.home, term), std::move(keys), InstanceId());
  }
  service->Promote(term, home.standby, logged, held, has_gap);
  std::lock_guard lock(mutex_);
  services_[home.name] = service;
  return OkStatus();
}

Status AtMostOnce::TakeOverInMemory(const HomeName& name) {
  std::lock_guard lock(mutex_);
  const Home* home = table_.Find(name);
  const auto it = copies_.find(name);
  const bool may_take = home != nullptr && it != copies_.end() &&
                        it->second.term == home->term &&
                        it->second.claims.CanTakeOverInMemory(clock_.Now());
  if (!may_take) {
    return Unavailable("the copy of " + name.value() + " is not in sync");
  }
  it->second.claims.Fence();
  KeyTable keys(settings_.keys);
  keys.AddClaims(it->second.claims.Claims(), clock_.Now());
  services_[name] = std::make_shared<HomeService>(
      settings_, HomeServiceDependencies{&log_, &standby_client_, &clock_},
      ClaimHome::Solo(settings_.home, {name, home->term, self_}),
      std::move(keys), InstanceId());
  return OkStatus();
}

void AtMostOnce::Heartbeat() {
  for (const auto& service : Services()) service->Heartbeat();
}

void AtMostOnce::WriteLogs() {
  for (const auto& service : Services()) service->WriteLog();
}

}  // namespace briarspread
