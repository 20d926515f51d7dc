#include "briarspread/rules/rule_distributor.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "briarspread/core/rendezvous.h"
#include "briarspread/rules/rule_parser.h"

namespace briarspread {
namespace {

/// The rendezvous hashing key that ranks the instances of an availability zone
/// as watchers.
constexpr char kWatcherKey[] = "rules-watcher";
/// Maximum number of announcements kept; exceeds the size of any fleet that the
/// design considers.
constexpr std::size_t kMaxAnnouncements = 4096;
/// Lowest factor by which jitter shortens a wait; the highest one is 1.
constexpr double kMinJitterFactor = 0.75;

/// Returns the interval between the calls of one of `callers` callers that
/// together make `calls_per_second`.
milliseconds IntervalAtRate(std::size_t callers, double calls_per_second) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(callers) *
                                                1000 / calls_per_second));
}

/// Returns the time from `now` to `later`, rounded up to milliseconds; zero if
/// `later` has passed.
milliseconds Until(TimePoint later, TimePoint now) {
  if (later <= now) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(later - now);
}

}  // namespace

RuleDistributor::RuleDistributor(const RuleDistributorSettings& settings,
                                 RuleSink& sink, const Clock& clock,
                                 RandomSource& random)
    : settings_(settings),
      sink_(sink),
      clock_(clock),
      random_(random),
      store_retry_delay_(settings.store_retry_delay) {}

RuleAction RuleDistributor::NextStoreAction() {
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  if (now < next_store_call_) {
    return {RuleAction::Kind::kWait, Until(next_store_call_, now), {}};
  }
  store_call_started_ = now;
  store_call_due_ = now + settings_.store_grace;
  const bool watch =
      is_watcher_ && !store_failing_ && known_.index > StoreIndex(0);
  if (!watch) return {RuleAction::Kind::kReadStore, milliseconds(0), {}};
  const milliseconds wait = WatchWait();
  store_call_due_ = now + wait + settings_.store_grace;
  return {RuleAction::Kind::kWatchStore, wait, {}};
}

RuleAction RuleDistributor::NextPeerAction() {
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  if (const InstanceId* announcer = AnnouncerToAsk(now)) {
    return {RuleAction::Kind::kAskPeer, milliseconds(0), *announcer};
  }
  const bool polls_peer =
      IsStoreUnresponsive(now) && !peers_.empty() && now >= next_peer_call_;
  if (!polls_peer) return {RuleAction::Kind::kWait, PeerWait(now), {}};
  next_peer_call_ = now + Jittered(settings_.peer_poll_interval);
  const InstanceId& peer = peers_[random_.Below(peers_.size())].instance;
  return {RuleAction::Kind::kAskPeer, milliseconds(0), peer};
}

/// Returns whether the last store call failed or the one in flight is overdue.
bool RuleDistributor::IsStoreUnresponsive(TimePoint now) const {
  const bool is_overdue =
      store_call_due_.has_value() && now >= *store_call_due_;
  return store_failing_ || is_overdue;
}

/// Returns the time from which an announcement is acted on. A watcher waits for
/// `watch_grace`, since its watch most likely delivers the revision by then.
TimePoint RuleDistributor::DueAt(const Announcement& announcement) const {
  const bool leave_to_watch = is_watcher_ && !store_failing_;
  if (!leave_to_watch) return announcement.since;
  return announcement.since + settings_.watch_grace;
}

/// Returns the peer that announced the highest revision among the announcements
/// that are due, or null if none is above the revision in force.
const InstanceId* RuleDistributor::AnnouncerToAsk(TimePoint now) const {
  const InstanceId* highest = nullptr;
  Revision most = in_force_.revision;
  for (const auto& [peer, announcement] : announced_) {
    if (announcement.revision <= most || DueAt(announcement) > now) continue;
    most = announcement.revision;
    highest = &peer;
  }
  return highest;
}

/// Returns the time until the next reason to ask a peer can arise: a due
/// announcement, an overdue store call or the next poll.
milliseconds RuleDistributor::PeerWait(TimePoint now) const {
  TimePoint next = now + settings_.peer_poll_interval;
  for (const auto& [peer, announcement] : announced_) {
    next = std::min(next, DueAt(announcement));
  }
  if (IsStoreUnresponsive(now)) {
    next = std::min(next, std::max(next_peer_call_, now));
  } else if (store_call_due_.has_value()) {
    next = std::min(next, *store_call_due_);
  }
  // Without a peer to ask, a wait of zero would make the caller spin.
  constexpr milliseconds kMinWait{1};
  return std::max(Until(next, now), kMinWait);
}

void RuleDistributor::OnStoreAnswer(const Result<StoredRules>& answer) {
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  store_call_due_.reset();
  if (!IsOk(answer)) {
    ++counts_.store_failures;
    store_failing_ = true;
    next_store_call_ = now + Jittered(store_retry_delay_);
    store_retry_delay_ =
        std::min(2 * store_retry_delay_, settings_.max_store_retry_delay);
    return;
  }
  store_failing_ = false;
  store_retry_delay_ = settings_.store_retry_delay;
  const StoredRules& stored = ValueOf(answer);
  const bool changed = Offer(stored.rules);
  known_.index = stored.index;
  if (stored.rules.revision >= known_.rules.revision) {
    known_.rules = stored.rules;
  }
  if (!is_watcher_ && in_force_.revision > Revision(0)) {
    next_store_call_ = now + Jittered(settings_.safety_read_interval);
    return;
  }
  // A watch that returned early without a change is not renewed before its wait
  // is over; otherwise a store whose watches return at once would be called in
  // a tight loop.
  const milliseconds interval = changed ? MinStoreInterval() : WatchWait();
  next_store_call_ = store_call_started_ + interval;
}

void RuleDistributor::OnPeerAnswer(const InstanceId& peer,
                                   const Result<RuleText>& answer) {
  std::lock_guard lock(mutex_);
  // The announcement is removed whatever the result: if the peer's revision is
  // still higher, its next digest announces it again.
  announced_.erase(peer);
  if (IsOk(answer)) Offer(ValueOf(answer));
}

bool RuleDistributor::OnAnnouncement(const InstanceId& peer,
                                     Revision revision) {
  std::lock_guard lock(mutex_);
  if (revision <= in_force_.revision) return false;
  if (announced_.size() >= kMaxAnnouncements) announced_.clear();
  Announcement& known = announced_[peer];
  if (known.revision >= revision) return false;
  // If a peer announces a yet higher revision before it was asked, the time of
  // its first announcement is kept, so that its due time is not postponed.
  if (known.revision <= in_force_.revision) known.since = clock_.Now();
  known.revision = revision;
  return true;
}

void RuleDistributor::OnMembers(std::vector<RuleMember> members) {
  std::lock_guard lock(mutex_);
  std::erase_if(members, [this](const RuleMember& member) {
    return member.instance == settings_.self;
  });
  peers_ = std::move(members);
  std::set<InstanceId> names;
  for (const RuleMember& peer : peers_) names.insert(peer.instance);
  std::erase_if(announced_, [&](const auto& announcement) {
    return !names.contains(announcement.first);
  });
  ChooseRole();
}

/// Decides whether this instance watches the store.
void RuleDistributor::ChooseRole() {
  const bool was_watcher = is_watcher_;
  const std::size_t fleet = peers_.size() + 1;
  const bool all_watch = fleet <= settings_.watch_all_up_to;
  watcher_count_ = all_watch ? fleet : WatchersOfLargeFleet();
  is_watcher_ = all_watch || RankInZone() < settings_.watchers_per_zone;
  // A new watcher calls the store at once instead of at its next safety read.
  if (is_watcher_ && !was_watcher && !store_failing_) {
    next_store_call_ = clock_.Now();
  }
}

/// Returns the number of watchers in a fleet where not all instances watch.
std::size_t RuleDistributor::WatchersOfLargeFleet() const {
  std::map<ZoneId, std::size_t> zones = {{settings_.zone, 1}};
  for (const RuleMember& peer : peers_) ++zones[peer.zone];
  std::size_t watchers = 0;
  for (const auto& [zone, size] : zones) {
    watchers += std::min(size, settings_.watchers_per_zone);
  }
  return watchers;
}

/// Returns the rank of this instance as a watcher in its availability zone;
/// rank 0 comes first.
std::size_t RuleDistributor::RankInZone() const {
  std::vector<std::string> names = {settings_.self.value()};
  for (const RuleMember& peer : peers_) {
    if (peer.zone != settings_.zone) continue;
    names.push_back(peer.instance.value());
  }
  const auto order = RendezvousOrder(kWatcherKey, names);
  const auto rank = std::find(order.begin(), order.end(), 0U);
  return static_cast<std::size_t>(rank - order.begin());
}

/// Puts `offered` in force if it parses and its revision is higher than the one
/// in force. Returns whether it was put in force.
bool RuleDistributor::Offer(const RuleText& offered) {
  if (offered.revision == Revision(0)) return false;
  if (offered.revision == in_force_.revision) return false;
  if (settings_.only_higher_revisions &&
      offered.revision < in_force_.revision) {
    ++counts_.not_higher;
    return false;
  }
  auto parsed = ParseRules(offered.text);
  auto* rules = std::get_if<RuleSet>(&parsed);
  if (rules == nullptr) {
    ++counts_.malformed;
    return false;
  }
  rules->revision = offered.revision;
  in_force_ = offered;
  ++counts_.published;
  std::erase_if(announced_, [&](const auto& announcement) {
    return announcement.second.revision <= offered.revision;
  });
  sink_.Publish(std::move(*rules));
  return true;
}

/// Returns the wait of a watch while the rules do not change.
milliseconds RuleDistributor::WatchWait() const {
  return std::max(
      settings_.min_watch_wait,
      IntervalAtRate(watcher_count_, settings_.idle_calls_per_second));
}

/// Returns the minimum interval between the store calls of a watcher.
milliseconds RuleDistributor::MinStoreInterval() const {
  return IntervalAtRate(watcher_count_, settings_.busy_calls_per_second);
}

milliseconds RuleDistributor::Jittered(milliseconds wait) {
  const double share =
      kMinJitterFactor + (1 - kMinJitterFactor) * random_.Fraction();
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(wait.count()) * share));
}

RuleText RuleDistributor::InForce() const {
  std::lock_guard lock(mutex_);
  return in_force_;
}

StoredRules RuleDistributor::KnownRules() const {
  std::lock_guard lock(mutex_);
  // If a peer delivered a revision above the store's last answer, its text is
  // the better start: it saves the read of a snapshot.
  const bool peer_ahead = in_force_.revision > known_.rules.revision;
  return StoredRules{peer_ahead ? in_force_ : known_.rules, known_.index};
}

bool RuleDistributor::IsWatcher() const {
  std::lock_guard lock(mutex_);
  return is_watcher_;
}

RuleDistributorCounts RuleDistributor::counts() const {
  std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace briarspread
