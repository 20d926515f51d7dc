#ifndef BRIARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
#define BRIARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"
#include "briarspread/membership/member.h"

namespace briarspread {

/// Settings of `MemberTable`.
struct MemberTableSettings {
  /// Time after which a suspect that has not refuted the suspicion counts as
  /// dead. Covers the dissemination of the suspicion to the suspect and of its
  /// refutation back.
  milliseconds suspicion_timeout{8000};
  /// Time for which a dead member that the platform does not list is kept, so
  /// that stale records do not add it again as alive.
  seconds dead_retention{600};
  /// Maximum number of other members; further ones are refused.
  std::size_t max_members = 4096;
};

/// Table of the instances of the system as known here: the platform's list,
/// which lags, merged with the records that instances send about themselves and
/// each other. Not thread-safe.
class MemberTable {
 public:
  /// Starts with only this instance, by its record `self`. Precondition:
  /// `clock` outlives this object.
  MemberTable(const MemberTableSettings& settings, MemberRecord self,
              const Clock& clock);

  /// Applies the platform's list. Instances of other kinds than entry instances
  /// are skipped. A newly listed member counts as alive until probes fail.
  void ApplyList(const std::vector<ListedInstance>& listed);

  /// Merges a record received from a peer. If it says that this instance is
  /// suspect or dead, raises the own version to refute it. Returns whether the
  /// table changed in a way that has to be disseminated.
  bool Merge(const MemberRecord& record);

  /// Marks a member as suspect after unanswered probes. Returns whether the
  /// member is known and was alive before.
  bool Suspect(const InstanceId& id);

  /// Marks suspects as dead after the suspicion timeout and removes unlisted
  /// members that have been dead for long. Returns the newly dead members.
  std::vector<InstanceId> Expire();

  /// Restarts the suspicion timeout of all suspects. Called after this instance
  /// itself was paused, since it may have missed refutations.
  void RestartSuspicions();

  /// Marks this instance as shutting down in its own record.
  void Leave();
  /// Sets the revision of the rules in force here. A lower revision is ignored.
  void SetRulesRevision(Revision revision);

  /// Returns this instance's own record.
  const MemberRecord& self() const { return self_; }
  /// Returns whether a later incarnation under this instance's name was seen.
  /// This process then no longer owns the name.
  bool is_superseded() const { return is_superseded_; }
  /// Returns the record of `id`, which may be this instance, or nothing if it
  /// is unknown.
  std::optional<MemberRecord> Find(const InstanceId& id) const;
  /// Returns the state of `id`, which is also leaving if the platform's list
  /// says so, or nothing if `id` is unknown.
  std::optional<MemberState> State(const InstanceId& id) const;
  /// Returns the other member that follows `id` in the order of names, with the
  /// first one following the last, or nothing if there is no other member.
  std::optional<MemberRecord> NextAfter(const InstanceId& id) const;
  /// Returns all other members, ordered by name.
  std::vector<MemberRecord> Others() const;
  /// Returns the members in `state`, including this instance, ordered by name.
  std::vector<MemberRecord> InState(MemberState state) const;
  /// Returns the number of members other than this instance.
  std::size_t size() const { return rows_.size(); }

 private:
  /// One other member.
  struct Row {
    /// The merged records that instances sent about the member.
    MemberRecord record;
    /// Whether the platform's list contains the member.
    bool listed = false;
    /// The member's incarnation when the list first showed it as leaving; empty
    /// if it does not. A later incarnation is a restart that the list does not
    /// show yet.
    std::optional<Incarnation> listed_leaving_at;
    /// Time at which `record.liveness` last changed here.
    TimePoint changed_at;
  };

  bool MergeSelf(const MemberRecord& record);
  static MemberState StateOfRow(const Row& row);
  void ApplyListed(const ListedInstance& listed);

  const MemberTableSettings settings_;
  MemberRecord self_;
  const Clock& clock_;
  bool is_superseded_ = false;
  /// The other members by name.
  std::map<InstanceId, Row> rows_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
