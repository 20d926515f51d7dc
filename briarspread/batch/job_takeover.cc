// The part of `JobGateway` for the takeover and the handover of jobs.

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "briarspread/batch/job_calls.h"
#include "briarspread/batch/job_gateway.h"
#include "briarspread/fleet/home_order.h"

namespace briarspread::batch {
namespace {

constexpr int kOk = 200;
/// Consecutive unanswered probes after which an owner counts as unreachable.
constexpr int kMaxUnansweredProbes = 2;

}  // namespace

// --- Takeover

void JobGateway::RefreshIndex() {
  store_.ListRecords([this](const Result<std::vector<StoredRecord>>& records) {
    if (!IsOk(records)) return;
    has_refreshed_index_ = true;
    for (const StoredRecord& stored : ValueOf(records)) index_.Put(stored);
  });
}

void JobGateway::ReviewOwners() {
  if (is_stopping_ || !registry_.has_listed()) return;
  if (!has_refreshed_index_) {
    // Finds jobs that were accepted before this process started.
    has_refreshed_index_ = true;
    RefreshIndex();
  }
  std::vector<StoredRecord> lost;
  for (const auto& [id, stored] : index_.all()) {
    const bool is_open = !stored.record.is_ended && !runner_->Owns(id);
    if (is_open && !IsOwnerRegistered(stored.record)) lost.push_back(stored);
  }
  std::erase_if(orphans_, [&](const auto& entry) {
    return !entry.second.is_adopting &&
           std::none_of(lost.begin(), lost.end(), [&](const auto& stored) {
             return stored.id == entry.first;
           });
  });
  for (const StoredRecord& stored : lost) {
    const auto [it, is_new] = orphans_.try_emplace(stored.id);
    Orphan& orphan = it->second;
    if (is_new) orphan.lost_at = clock_.Now();
    if (orphan.is_adopting || orphan.is_probing) continue;
    if (!orphan.is_owner_lost) {
      ProbeOwner(stored);
    } else {
      AdoptOrphan(stored);
    }
  }
}

void JobGateway::ProbeOwner(const StoredRecord& stored) {
  // A registration may expire although its instance still runs.
  orphans_[stored.id].is_probing = true;
  PeerCall call;
  call.target = "/v1/ping";
  call.timeout = settings_.call_timeout;
  peers_.Call(stored.record.owner_endpoint, std::move(call),
              [this, stored](const Result<proxy::Response>& answer) {
                const auto it = orphans_.find(stored.id);
                if (it == orphans_.end()) return;
                it->second.is_probing = false;
                const std::string expected =
                    stored.record.owner.value() + "/" +
                    std::to_string(stored.record.incarnation.value());
                Orphan& orphan = it->second;
                // An answer of another incarnation is conclusive; a missing
                // answer may be a lost packet.
                const bool is_other =
                    IsOk(answer) && ValueOf(answer).body != expected;
                orphan.unanswered_probes =
                    IsOk(answer) ? 0 : orphan.unanswered_probes + 1;
                orphan.is_owner_lost = is_other || orphan.unanswered_probes >=
                                                       kMaxUnansweredProbes;
                if (orphan.is_owner_lost) AdoptOrphan(stored);
              });
}

void JobGateway::AdoptOrphan(const StoredRecord& stored) {
  std::vector<InstanceRecord> candidates = registry_.Peers();
  candidates.push_back(registry_.self());
  Locality near = registry_.self().locality;
  const auto owner = registry_.instances().find(stored.record.owner);
  if (owner != registry_.instances().end()) near = owner->second.locality;
  const auto order =
      HomeOrder(stored.record.home_key, near, std::move(candidates));
  const auto self =
      std::find_if(order.begin(), order.end(), [this](const auto& instance) {
        return instance.name == registry_.self().name;
      });
  Orphan& orphan = orphans_[stored.id];
  const auto rank = self - order.begin();
  if (clock_.Now() - orphan.lost_at < rank * settings_.takeover_stagger) return;
  orphan.is_adopting = true;
  LOG(INFO) << "event=takeover job=" << stored.id
            << " owner=" << stored.record.owner;
  store_.ReadRecord(
      stored.id, [this, id = stored.id](const Result<StoredRecord>& read) {
        if (!IsOk(read)) {
          orphans_.erase(id);
          if (ErrorOf(read).code == ErrorCode::kNotFound) index_.Erase(id);
          return;
        }
        const StoredRecord& current = ValueOf(read);
        index_.Put(current);
        if (current.record.is_ended || IsOwnerRegistered(current.record)) {
          orphans_.erase(id);
          return;
        }
        runner_->Adopt(
            current, JobHandover{},
            [this, id](const Result<std::monostate>&) { orphans_.erase(id); });
      });
}

std::vector<Endpoint> JobGateway::OtherOwnerEndpoints() const {
  std::set<Endpoint> owners;
  for (const auto& [id, stored] : index_.all()) {
    const JobRecord& record = stored.record;
    if (record.is_ended || IsOwnRecord(record)) continue;
    if (IsOwnerRegistered(record)) owners.insert(record.owner_endpoint);
  }
  return {owners.begin(), owners.end()};
}

// --- Handover

void JobGateway::OnHandover(const StoredRecord& stored,
                            const JobHandover& handover,
                            Done<std::monostate> done) {
  if (is_stopping_) {
    done(UnavailableError("stopping"));
    return;
  }
  runner_->Adopt(stored, handover, std::move(done));
}

void JobGateway::HandOverAll(const std::function<void()>& done) {
  is_stopping_ = true;
  const std::vector<JobId> open = runner_->OpenJobs();
  if (open.empty()) {
    done();
    return;
  }
  const auto remaining = std::make_shared<int>(static_cast<int>(open.size()));
  for (const JobId& id : open) {
    HandOver(id,
             HomeOrder(runner_->RecordOf(id).record.home_key,
                       registry_.self().locality, registry_.Peers()),
             remaining, done);
  }
}

void JobGateway::HandOver(const JobId& id,
                          std::vector<InstanceRecord> candidates,
                          const std::shared_ptr<int>& remaining,
                          const std::function<void()>& done) {
  if (!runner_->Owns(id) || candidates.empty()) {
    // No instance took the job over: it resumes here until the process ends.
    runner_->Reclaim(id);
    if (--*remaining == 0) done();
    return;
  }
  const InstanceRecord new_owner = candidates.front();
  candidates.erase(candidates.begin());
  PeerCall call;
  call.method = "POST";
  const StoredRecord stored = runner_->RecordOf(id);
  call.target =
      JobTarget(id) + "/adoption?index=" + std::to_string(stored.index.value());
  const std::string handover = Encode(runner_->PrepareHandover(id));
  const std::string record = Encode(stored.record);
  call.target += "&record_bytes=" + std::to_string(record.size());
  call.body = record + handover;
  call.timeout = settings_.adoption_timeout;
  peers_.Call(new_owner.peer_endpoint, std::move(call),
              [this, id, candidates = std::move(candidates), remaining, done,
               new_owner](const Result<proxy::Response>& answer) {
                if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
                  LOG(INFO) << "event=job_handed_over job=" << id
                            << " to=" << new_owner.name;
                  runner_->DropJob(id);
                  index_.Erase(id);
                  if (--*remaining == 0) done();
                  return;
                }
                HandOver(id, candidates, remaining, done);
              });
}

}  // namespace briarspread::batch
