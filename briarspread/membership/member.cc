#include "briarspread/membership/member.h"

#include <algorithm>
#include <cassert>

namespace briarspread {

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

MemberState StateOf(const MemberRecord& record) {
  if (record.liveness == Liveness::kDead) return MemberState::kDead;
  if (record.leaving) return MemberState::kLeaving;
  if (record.liveness == Liveness::kSuspect) return MemberState::kSuspect;
  return MemberState::kAlive;
}

bool MergeRecord(MemberRecord& record, const MemberRecord& other) {
  assert(record.id == other.id);
  const MemberRecord before = record;
  if (other.version.incarnation < record.version.incarnation) return false;
  if (other.version.incarnation > record.version.incarnation) {
    record = other;
    return true;
  }
  if (other.version > record.version) {
    record.version = other.version;
    record.liveness = other.liveness;
  } else if (other.version == record.version) {
    record.liveness = std::max(record.liveness, other.liveness);
  }
  record.leaving = record.leaving || other.leaving;
  record.rules_revision = std::max(record.rules_revision, other.rules_revision);
  // One incarnation has one address. If records claim two, the greater one is
  // taken, so that all instances agree.
  record.endpoint = std::max(record.endpoint, other.endpoint);
  record.locality = std::max(record.locality, other.locality);
  return record.version != before.version ||
         record.liveness != before.liveness ||
         record.leaving != before.leaving || record.endpoint != before.endpoint;
}

}  // namespace briarspread
