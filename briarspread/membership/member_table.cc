#include "briarspread/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace briarspread {

MemberTable::MemberTable(const MemberTableSettings& settings, MemberRecord self,
                         const Clock& clock)
    : settings_(settings), self_(std::move(self)), clock_(clock) {}

void MemberTable::ApplyList(const std::vector<ListedInstance>& listed) {
  for (auto& [id, row] : rows_) row.listed = false;
  for (const ListedInstance& instance : listed) {
    if (instance.kind == InstanceKind::kEntry) ApplyListed(instance);
  }
}

void MemberTable::ApplyListed(const ListedInstance& listed) {
  const InstanceId id(listed.name);
  if (id == self_.id) return;
  auto it = rows_.find(id);
  if (it == rows_.end()) {
    if (rows_.size() >= settings_.max_members) return;
    Row row;
    row.record.id = id;
    row.record.endpoint = listed.endpoint;
    row.record.locality = listed.locality;
    row.changed_at = clock_.Now();
    it = rows_.emplace(id, std::move(row)).first;
  }
  Row& row = it->second;
  row.listed = true;
  // A replacement under the same name may have another address.
  if (row.record.liveness == Liveness::kDead) {
    row.record.endpoint = listed.endpoint;
  }
  if (listed.state != ListedState::kLeaving) {
    row.listed_leaving_at.reset();
  } else if (!row.listed_leaving_at.has_value()) {
    row.listed_leaving_at = row.record.version.incarnation;
  }
}

bool MemberTable::Merge(const MemberRecord& record) {
  if (record.id == self_.id) return MergeSelf(record);
  auto it = rows_.find(record.id);
  if (it == rows_.end()) {
    // A dead member that is unknown here needs no row.
    if (record.liveness == Liveness::kDead) return false;
    if (rows_.size() >= settings_.max_members) return false;
    Row row;
    row.record = record;
    row.changed_at = clock_.Now();
    rows_.emplace(record.id, std::move(row));
    return true;
  }
  Row& row = it->second;
  const Liveness before = row.record.liveness;
  const bool unconfirmed = row.record.version == MemberVersion{};
  const bool changed = MergeRecord(row.record, record);
  if (row.record.liveness != before) row.changed_at = clock_.Now();
  // The first record contains the incarnation to which the leaving state in
  // the list applies.
  if (unconfirmed && row.listed_leaving_at.has_value()) {
    row.listed_leaving_at = row.record.version.incarnation;
  }
  // All instances know the members of the list, and each finds out by its own
  // probes that they run, so this change is not disseminated.
  const bool only_confirmed = unconfirmed && before == Liveness::kAlive &&
                              StateOf(row.record) == MemberState::kAlive;
  return changed && !only_confirmed;
}

bool MemberTable::MergeSelf(const MemberRecord& record) {
  if (record.version.incarnation > self_.version.incarnation) {
    is_superseded_ = true;
    return false;
  }
  if (record.version.incarnation < self_.version.incarnation) return false;
  if (record.version < self_.version) return false;
  if (record.liveness == Liveness::kAlive) return false;
  self_.version.refutations = record.version.refutations + 1;
  return true;
}

bool MemberTable::Suspect(const InstanceId& id) {
  const auto it = rows_.find(id);
  if (it == rows_.end()) return false;
  if (it->second.record.liveness != Liveness::kAlive) return false;
  it->second.record.liveness = Liveness::kSuspect;
  it->second.changed_at = clock_.Now();
  return true;
}

std::vector<InstanceId> MemberTable::Expire() {
  const TimePoint now = clock_.Now();
  std::vector<InstanceId> dead;
  for (auto it = rows_.begin(); it != rows_.end();) {
    Row& row = it->second;
    const Duration age = now - row.changed_at;
    const Liveness liveness = row.record.liveness;
    if (liveness == Liveness::kDead && !row.listed &&
        age > settings_.dead_retention) {
      it = rows_.erase(it);
      continue;
    }
    if (liveness == Liveness::kSuspect && age > settings_.suspicion_timeout) {
      row.record.liveness = Liveness::kDead;
      row.changed_at = now;
      dead.push_back(it->first);
    }
    ++it;
  }
  return dead;
}

void MemberTable::RestartSuspicions() {
  for (auto& [id, row] : rows_) {
    if (row.record.liveness == Liveness::kSuspect) {
      row.changed_at = clock_.Now();
    }
  }
}

void MemberTable::Leave() { self_.leaving = true; }

void MemberTable::SetRulesRevision(Revision revision) {
  self_.rules_revision = std::max(self_.rules_revision, revision);
}

std::optional<MemberRecord> MemberTable::Find(const InstanceId& id) const {
  if (id == self_.id) return self_;
  const auto it = rows_.find(id);
  if (it == rows_.end()) return std::nullopt;
  return it->second.record;
}

MemberState MemberTable::StateOfRow(const Row& row) {
  const MemberState state = StateOf(row.record);
  if (state == MemberState::kDead) return state;
  if (row.listed_leaving_at.has_value() &&
      *row.listed_leaving_at >= row.record.version.incarnation) {
    return MemberState::kLeaving;
  }
  return state;
}

std::optional<MemberState> MemberTable::State(const InstanceId& id) const {
  if (id == self_.id) return StateOf(self_);
  const auto it = rows_.find(id);
  if (it == rows_.end()) return std::nullopt;
  return StateOfRow(it->second);
}

std::optional<MemberRecord> MemberTable::NextAfter(const InstanceId& id) const {
  if (rows_.empty()) return std::nullopt;
  auto it = rows_.upper_bound(id);
  if (it == rows_.end()) it = rows_.begin();
  return it->second.record;
}

std::vector<MemberRecord> MemberTable::Others() const {
  std::vector<MemberRecord> others;
  others.reserve(rows_.size());
  for (const auto& [id, row] : rows_) others.push_back(row.record);
  return others;
}

std::vector<MemberRecord> MemberTable::InState(MemberState state) const {
  std::vector<MemberRecord> found;
  if (StateOf(self_) == state) found.push_back(self_);
  for (const auto& [id, row] : rows_) {
    if (StateOfRow(row) == state) found.push_back(row.record);
  }
  std::sort(found.begin(), found.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return found;
}

}  // namespace briarspread
