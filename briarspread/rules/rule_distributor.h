#ifndef BRIARSPREAD_RULES_RULE_DISTRIBUTOR_H_
#define BRIARSPREAD_RULES_RULE_DISTRIBUTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/rules/rule_log.h"
#include "briarspread/rules/rule_sink.h"
#include "briarspread/rules/rule_store.h"

namespace briarspread {

/// Settings of `RuleDistributor`.
struct RuleDistributorSettings {
  /// This instance.
  InstanceId self;
  /// Where it stands.
  ZoneId zone;
  /// The largest fleet in which every instance watches the store.
  std::size_t watch_all_up_to = 32;
  /// In a larger fleet, instances of each availability zone that watch it.
  std::size_t watchers_per_zone = 2;
  /// Calls a second that all watches of the fleet together cost while nothing
  /// changes.
  double idle_calls_per_second = 10;
  /// Calls a second that they cost at most while the rules change.
  double busy_calls_per_second = 100;
  /// The shortest wait of a watch.
  milliseconds least_watch{1000};
  /// How often an instance that does not watch reads the store all the same.
  milliseconds safety_read{300'000};
  /// How long after a failed call the store is tried again, at first.
  milliseconds store_retry{500};
  /// The longest such time.
  milliseconds max_store_retry{4000};
  /// How often a peer is asked while the store does not answer.
  milliseconds peer_poll{1000};
  /// How late a call to the store may be before peers are asked meanwhile.
  milliseconds store_grace{500};
  /// How long a watcher leaves a peer's announcement to its watch.
  milliseconds watch_grace{200};
  /// Turned off only by tests that show what it protects from.
  bool only_higher_revisions = true;
};

/// What an instance does next about its rules.
struct RuleAction {
  /// The kinds.
  enum class Kind {
    /// Nothing for `wait`, or until something is announced.
    kWait,
    /// Read the store and report by `OnStoreAnswer`.
    kReadStore,
    /// Watch the store for up to `wait` and report by `OnStoreAnswer`.
    kWatchStore,
    /// Ask `peer` for its rules and report by `OnPeerAnswer`.
    kAskPeer,
  };
  /// Which one.
  Kind kind = Kind::kWait;
  /// How long, for `kWait` and `kWatchStore`.
  milliseconds wait{0};
  /// Whom, for `kAskPeer`.
  InstanceId peer;
};

/// One live instance, as membership knows it.
struct RuleMember {
  /// Its name.
  InstanceId instance;
  /// Where it stands.
  ZoneId zone;
};

/// Counts of a `RuleDistributor`, for metrics.
struct RuleDistributorCounts {
  /// Revisions put in force.
  std::uint64_t published = 0;
  /// Offers of a revision that is not higher.
  std::uint64_t not_higher = 0;
  /// Offers that do not parse.
  std::uint64_t malformed = 0;
  /// Store calls that failed.
  std::uint64_t store_failures = 0;
};

/// Decides how one instance comes by its rules, and puts them in force. It
/// moves only to higher revisions, whoever offers them: the store's watch, a
/// read, or a peer. In a large fleet a few instances of each availability zone
/// watch the store, by rendezvous hashing; the others ask a peer that announces
/// a higher revision. While the store does not answer, every instance also
/// asks peers in turn, so that one that starts then gets rules too.
/// Holds no thread: a caller performs the next actions and reports what came of
/// them, one about the store and one about peers at a time.
/// Thread-safe; announcements may arrive while actions are under way.
class RuleDistributor {
 public:
  /// Precondition: `sink`, `clock` and `random` outlive this object.
  RuleDistributor(const RuleDistributorSettings& settings, RuleSink& sink,
                  const Clock& clock, RandomSource& random);

  /// What to do now about the store: a read, a watch or a wait.
  /// Precondition: the previous such action was reported.
  RuleAction NextStoreAction();
  /// What to do now about peers: to ask one, or a wait. Goes on while a call to
  /// the store hangs. Precondition: the previous such action was reported.
  RuleAction NextPeerAction();
  /// What a read or a watch of the store gave.
  void OnStoreAnswer(const Result<StoredRules>& answer);
  /// What a peer gave.
  void OnPeerAnswer(const InstanceId& peer, const Result<RuleText>& answer);

  /// A peer's digest says that `revision` is in force there. Returns whether it
  /// is news, so that whoever waits for `NextPeerAction` should ask again.
  bool OnAnnouncement(const InstanceId& peer, Revision revision);
  /// The live instances, this one included or not.
  void OnMembers(std::vector<RuleMember> members);

  /// What is in force here; offered to peers.
  RuleText InForce() const;
  /// The last answer of the store and its index, for the next read or watch.
  StoredRules Known() const;
  /// Whether this instance watches the store.
  bool IsWatcher() const;
  /// Counts since the start.
  RuleDistributorCounts counts() const;

 private:
  /// What a peer announced.
  struct Announcement {
    /// The revision in force there.
    Revision revision;
    /// When it was announced.
    TimePoint since{};
  };

  bool Offer(const RuleText& offered);
  void ChooseRole();
  std::size_t WatchersOfLargeFleet() const;
  std::size_t RankInZone() const;
  milliseconds WatchWait() const;
  milliseconds LeastStoreInterval() const;
  milliseconds Jittered(milliseconds wait);
  bool IsStoreSilent(TimePoint now) const;
  TimePoint DueOf(const Announcement& announcement) const;
  const InstanceId* AnnouncerToAsk(TimePoint now) const;
  milliseconds PeerWait(TimePoint now) const;

  /// As given.
  const RuleDistributorSettings settings_;
  /// Takes new rules.
  RuleSink& sink_;
  /// Tells the time.
  const Clock& clock_;
  /// Spreads retries and the choice of peers.
  RandomSource& random_;
  /// Guards all below.
  mutable std::mutex mutex_;
  /// What is in force here.
  RuleText in_force_;
  /// The last answer of the store.
  StoredRules known_;
  /// Whether the last call to the store failed.
  bool store_failing_ = false;
  /// When the store may be called again.
  TimePoint next_store_call_{};
  /// When the last call to the store started.
  TimePoint store_call_started_{};
  /// When the call under way should have ended; empty: none is under way.
  std::optional<TimePoint> store_call_due_;
  /// How long the next failed call is waited out.
  milliseconds store_retry_;
  /// When a peer that announced nothing may be asked again.
  TimePoint next_peer_call_{};
  /// The other live instances.
  std::vector<RuleMember> peers_;
  /// Instances that watch the store, over the whole fleet.
  std::size_t watchers_ = 1;
  /// Whether this one does.
  bool is_watcher_ = true;
  /// Higher revisions that peers announced.
  std::map<InstanceId, Announcement> announced_;
  /// See `counts`.
  RuleDistributorCounts counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DISTRIBUTOR_H_
