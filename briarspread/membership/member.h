#ifndef BRIARSPREAD_MEMBERSHIP_MEMBER_H_
#define BRIARSPREAD_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// The liveness of another instance's process, as far as an instance knows.
enum class Liveness {
  /// The process answers probes, or was not found failing yet.
  kAlive,
  /// The process did not answer probes and has not refuted the suspicion yet.
  kSuspect,
  /// The process did not refute the suspicion before the timeout.
  kDead,
};

/// The state of a member for the selection among members.
enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

/// Returns the name of a state for status pages, such as `alive`. Thread-safe.
std::string_view ToString(MemberState state);

/// Version of a record, which orders the records of one member. The incarnation
/// identifies one start of the process. Other modules use it as the identity of
/// the process's memory, so the refutation of a suspicion increases a separate
/// counter rather than the incarnation.
struct MemberVersion {
  /// The incarnation of the process.
  Incarnation incarnation;
  /// Number of suspicions refuted in this incarnation.
  std::uint32_t refutations = 0;

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

/// What an instance knows about a member, as instances exchange it.
struct MemberRecord {
  /// The name of the member.
  InstanceId id;
  /// The address on which the member listens.
  Endpoint endpoint;
  /// The region and availability zone of the member.
  Locality locality;
  /// The version of this record.
  MemberVersion version;
  /// The liveness of the process.
  Liveness liveness = Liveness::kAlive;
  /// Whether the member has announced that it is shutting down. Stays true for
  /// the rest of the incarnation.
  bool leaving = false;
  /// The revision of the rules in force on the member. Never decreases within
  /// an incarnation.
  Revision rules_revision;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Returns the member's state according to its record alone. Thread-safe.
MemberState StateOf(const MemberRecord& record);

/// Merges `other`, a record of the same member, into `record`. The merge is
/// commutative, associative and idempotent, so that instances converge whatever
/// the order, loss or repetition of messages. Returns whether the version,
/// liveness, leaving flag or address changed. Thread-safe.
bool MergeRecord(MemberRecord& record, const MemberRecord& other);

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_MEMBER_H_
