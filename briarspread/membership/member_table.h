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
  /// How long a suspect has to refute the suspicion. Covers the way of the
  /// suspicion to the suspect and of the refutation back.
  milliseconds suspicion_timeout{8000};
  /// How long a dead member that the platform does not list is remembered, so
  /// that old statements do not bring it back.
  seconds forget_after{600};
  /// The most members kept; further ones are refused.
  std::size_t max_members = 4096;
};

/// The instances of the system as this one knows them: the platform's list,
/// which lags, merged with what instances say of themselves and each other.
/// Not thread-safe.
class MemberTable {
 public:
  /// Holds `self`, alive. Precondition: `clock` outlives this object.
  MemberTable(const MemberTableSettings& settings, MemberRecord self,
              const Clock& clock);

  /// Takes the platform's list. Rows of other kinds than entry instances are
  /// skipped. Members it newly names count as alive until probes fail.
  void TakeList(const std::vector<ListedInstance>& listed);

  /// Merges a peer's statement. One that says this instance is suspect or dead
  /// is refuted. Returns whether the table changed in a way worth passing on.
  bool Merge(const MemberRecord& record);

  /// Marks a member suspect after unanswered probes. Returns whether it was
  /// alive before.
  bool Suspect(const InstanceId& id);

  /// Marks suspects dead whose time to refute ran out, forgets old unlisted
  /// dead ones, and returns those newly dead.
  std::vector<InstanceId> Expire();

  /// Gives all suspects their full time again. Called after this instance
  /// itself was paused, when it may have missed refutations.
  void RestartSuspicions();

  /// Says that this instance is shutting down.
  void Leave();
  /// Sets the rules in force here. Lower revisions are ignored.
  void SetRulesRevision(Revision revision);

  /// This instance's own record.
  const MemberRecord& self() const { return self_; }
  /// Whether a later start under this instance's name was seen. This process
  /// then no longer owns the name.
  bool is_superseded() const { return superseded_; }
  /// The record of `id`, itself included, or nothing where it is unknown.
  std::optional<MemberRecord> Find(const InstanceId& id) const;
  /// The state of `id`, with what the platform's list says of leaving; nothing
  /// where it is unknown.
  std::optional<MemberState> State(const InstanceId& id) const;
  /// The other member whose name follows `id`, from the start again after the
  /// last; nothing where there is none.
  std::optional<MemberRecord> After(const InstanceId& id) const;
  /// All other members, by name.
  std::vector<MemberRecord> Others() const;
  /// Members in `state`, this instance included, by name.
  std::vector<MemberRecord> InState(MemberState state) const;
  /// Members other than this instance.
  std::size_t size() const { return rows_.size(); }

 private:
  /// One other member.
  struct Row {
    /// What instances say of it.
    MemberRecord record;
    /// Whether the platform's list names it.
    bool listed = false;
    /// The incarnation at which the list was first seen to say leaving. A
    /// later incarnation is a restart that the list does not show yet.
    std::optional<Incarnation> listed_leaving_at;
    /// When `record.liveness` last changed here.
    TimePoint changed_at;
  };

  bool MergeSelf(const MemberRecord& record);
  static MemberState StateOfRow(const Row& row);
  void TakeListed(const ListedInstance& listed);

  const MemberTableSettings settings_;
  MemberRecord self_;
  const Clock& clock_;
  bool superseded_ = false;
  /// The other members.
  std::map<InstanceId, Row> rows_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
