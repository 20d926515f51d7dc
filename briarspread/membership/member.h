#ifndef BRIARSPREAD_MEMBERSHIP_MEMBER_H_
#define BRIARSPREAD_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// What an instance believes of another one's process.
enum class Liveness {
  /// It answers probes, or nothing speaks against it.
  kAlive,
  /// It left probes unanswered and has not refuted the suspicion yet.
  kSuspect,
  /// It did not refute the suspicion in time.
  kDead,
};

/// What a member is to those who choose among members.
enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

/// The state's name in status pages, such as `alive`. Thread-safe.
std::string_view ToString(MemberState state);

/// Orders statements about one member. The incarnation names one start of the
/// process, which other parts use as the identity of its memory, so refuting a
/// suspicion raises a count of its own and leaves the incarnation alone.
struct MemberVersion {
  /// The start of the process.
  Incarnation incarnation;
  /// Suspicions that this start has refuted.
  std::uint32_t refutations = 0;

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

/// One statement about a member, as instances exchange it.
struct MemberRecord {
  /// The member.
  InstanceId id;
  /// Where it listens.
  Endpoint endpoint;
  /// Where it stands.
  Locality locality;
  /// What the statement is about.
  MemberVersion version;
  /// Whether the process runs.
  Liveness liveness = Liveness::kAlive;
  /// Whether the member itself said that it is shutting down. Holds for the
  /// rest of the incarnation.
  bool leaving = false;
  /// The rules in force there. Grows within an incarnation.
  Revision rules_revision;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// The member's state by its record alone. Thread-safe.
MemberState StateOf(const MemberRecord& record);

/// Merges `other` into `record`; both are about one member. The merge is
/// commutative, associative and idempotent, so that instances agree whatever
/// the order, loss or repetition of messages. Returns whether anything but the
/// rules revision changed. Thread-safe.
bool MergeRecord(MemberRecord& record, const MemberRecord& other);

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_MEMBER_H_
