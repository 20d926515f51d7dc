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
  /// The name of this instance.
  InstanceId self;
  /// The availability zone of this instance.
  ZoneId zone;
  /// Largest number of instances in the fleet at which all of them watch the
  /// store.
  std::size_t watch_all_up_to = 32;
  /// Number of instances per availability zone that watch the store in a larger
  /// fleet.
  std::size_t watchers_per_zone = 2;
  /// Rate of store calls by all watches of the fleet together while the rules
  /// do not change, per second.
  double idle_calls_per_second = 10;
  /// Maximum rate of these calls while the rules change, per second.
  double busy_calls_per_second = 100;
  /// Minimum time that a watch waits for a change.
  milliseconds min_watch_wait{1000};
  /// Interval at which an instance that does not watch the store reads it, in
  /// case an announcement was lost.
  milliseconds safety_read_interval{300'000};
  /// Delay before the store is called again after the first failed call;
  /// doubles with each further failure.
  milliseconds store_retry_delay{500};
  /// Maximum delay before the store is called again.
  milliseconds max_store_retry_delay{4000};
  /// Interval at which peers are polled while the store does not answer.
  milliseconds peer_poll_interval{1000};
  /// Time that a store call may take beyond its wait before the store counts as
  /// unresponsive and peers are polled.
  milliseconds store_grace{500};
  /// Time for which a watcher expects an announced revision from its own watch
  /// before it asks the announcing peer.
  milliseconds watch_grace{200};
  /// Whether lower revisions are refused. False only in tests that show the
  /// failure which this check prevents.
  bool only_higher_revisions = true;
};

/// The next action of an instance to obtain rules.
struct RuleAction {
  /// The kinds of action.
  enum class Kind {
    /// Do nothing for `wait`, or until `OnAnnouncement` returns true.
    kWait,
    /// Read the store and report the result to `OnStoreAnswer`.
    kReadStore,
    /// Watch the store for up to `wait` and report the result to
    /// `OnStoreAnswer`.
    kWatchStore,
    /// Fetch the rules of `peer` and report the result to `OnPeerAnswer`.
    kAskPeer,
  };
  /// The kind of this action.
  Kind kind = Kind::kWait;
  /// Maximum time to wait, for `kWait` and `kWatchStore`.
  milliseconds wait{0};
  /// The peer to ask, for `kAskPeer`.
  InstanceId peer;
};

/// A live instance according to the membership protocol.
struct RuleMember {
  /// The name of the instance.
  InstanceId instance;
  /// The availability zone of the instance.
  ZoneId zone;
};

/// Counters of a `RuleDistributor`, for metrics.
struct RuleDistributorCounts {
  /// Number of revisions put in force.
  std::uint64_t published = 0;
  /// Number of offered rules refused because their revision was lower than the
  /// one in force.
  std::uint64_t not_higher = 0;
  /// Number of offered rules refused because they do not parse.
  std::uint64_t malformed = 0;
  /// Number of store calls that failed.
  std::uint64_t store_failures = 0;
};

/// Plans how one instance obtains rules, and puts them in force. Only a higher
/// revision replaces the one in force, no matter whether it comes from a watch
/// of the store, a read of the store or a peer. In a large fleet a few
/// instances of each availability zone, chosen by rendezvous hashing, watch the
/// store; the others ask a peer that announces a higher revision. While the
/// store does not answer, every instance also polls random peers, so that an
/// instance that starts during an outage gets rules too.
/// Owns no thread: the caller performs the next actions and reports their
/// results, at most one store action and one peer action at a time.
/// Thread-safe; announcements may arrive while actions are in flight.
class RuleDistributor {
 public:
  /// Precondition: `sink`, `clock` and `random` outlive this object.
  RuleDistributor(const RuleDistributorSettings& settings, RuleSink& sink,
                  const Clock& clock, RandomSource& random);

  /// Returns the next action on the store: a read, a watch or a wait.
  /// Precondition: the result of the previous read or watch was reported.
  RuleAction NextStoreAction();
  /// Returns the next action on peers: a fetch from one of them, or a wait. May
  /// be called while a call to the store blocks. Precondition: the result of
  /// the previous fetch was reported.
  RuleAction NextPeerAction();
  /// Handles the result of a read or a watch of the store.
  void OnStoreAnswer(const Result<StoredRules>& answer);
  /// Handles the result of fetching the rules of `peer`.
  void OnPeerAnswer(const InstanceId& peer, const Result<RuleText>& answer);

  /// Handles the announcement in a digest of `peer` that `revision` is in force
  /// there. Returns whether the revision is new to this object; if so, a caller
  /// that waits should call `NextPeerAction` again.
  bool OnAnnouncement(const InstanceId& peer, Revision revision);
  /// Sets the live instances, with or without this one, and decides again
  /// whether this instance watches the store.
  void OnMembers(std::vector<RuleMember> members);

  /// Returns the rules in force here; they are offered to peers.
  RuleText InForce() const;
  /// Returns the store index of the last answer and the newest known text, as
  /// the start of the next read or watch.
  StoredRules KnownRules() const;
  /// Returns whether this instance watches the store.
  bool IsWatcher() const;
  /// Returns the counters since the start.
  RuleDistributorCounts counts() const;

 private:
  /// An announcement by a peer.
  struct Announcement {
    /// The revision in force on the peer.
    Revision revision;
    /// Time of the first announcement of a revision above the one in force
    /// here.
    TimePoint since{};
  };

  bool Offer(const RuleText& offered);
  void ChooseRole();
  std::size_t WatchersOfLargeFleet() const;
  std::size_t RankInZone() const;
  milliseconds WatchWait() const;
  milliseconds MinStoreInterval() const;
  milliseconds Jittered(milliseconds wait);
  bool IsStoreUnresponsive(TimePoint now) const;
  TimePoint DueAt(const Announcement& announcement) const;
  const InstanceId* AnnouncerToAsk(TimePoint now) const;
  milliseconds PeerWait(TimePoint now) const;

  const RuleDistributorSettings settings_;
  /// Receives rules that come into force.
  RuleSink& sink_;
  /// Source of the current time.
  const Clock& clock_;
  /// Source of the jitter and of the choice of peers.
  RandomSource& random_;
  /// Guards all members below.
  mutable std::mutex mutex_;
  /// The rules in force here.
  RuleText in_force_;
  /// The last store index, and the rules of the highest revision that the store
  /// returned.
  StoredRules known_;
  /// Whether the last call to the store failed.
  bool store_failing_ = false;
  /// Earliest time of the next call to the store.
  TimePoint next_store_call_{};
  /// Start time of the last call to the store.
  TimePoint store_call_started_{};
  /// Time by which the store call in flight should have ended; empty if no call
  /// is in flight.
  std::optional<TimePoint> store_call_due_;
  /// Delay after the next failed call to the store, before jitter.
  milliseconds store_retry_delay_;
  /// Earliest time of the next poll of a random peer.
  TimePoint next_peer_call_{};
  /// The other live instances.
  std::vector<RuleMember> peers_;
  /// Number of instances of the whole fleet that watch the store.
  std::size_t watcher_count_ = 1;
  /// Whether this instance watches the store.
  bool is_watcher_ = true;
  /// The announcements of higher revisions, by peer.
  std::map<InstanceId, Announcement> announced_;
  /// The values that `counts` returns.
  RuleDistributorCounts counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_RULE_DISTRIBUTOR_H_
