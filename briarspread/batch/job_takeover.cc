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
/// Peers that an instance that starts asks for their index.
constexpr std::size_t kMaxIndexPeers = 2;
/// Consecutive unanswered probes after which an owner counts as unreachable.
constexpr int kMaxUnansweredProbes = 2;

}  // namespace

// --- Takeover

void JobGateway::RefreshIndex() {
  store_.ListRecords([this](const Result<std::vector<StoredRecord>>& records) {
    if (!IsOk(records)) {
      LOG(WARNING) << "event=job_listing_failed reason=\""
                   << ErrorOf(records).message << "\"";
      PauseRetries(index_retry_);
      return;
    }
    CompleteIndex(ValueOf(records));
  });
}

void JobGateway::CompleteIndex(const std::vector<StoredRecord>& records) {
  has_refreshed_index_ = true;
  for (const StoredRecord& stored : records) LearnRecord(stored);
}

void JobGateway::GetFirstIndex(std::vector<InstanceRecord> peers) {
  if (has_refreshed_index_) return;
  if (peers.empty()) {
    RefreshIndex();
    return;
  }
  PeerCall call;
  call.target = kIndexPath;
  call.timeout = settings_.call_timeout;
  const Endpoint peer = peers.back().peer_endpoint;
  peers.pop_back();
  peers_.Call(
      peer, std::move(call),
      [this, peers = std::move(peers)](const Result<proxy::Response>& answer) {
        if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
          const auto records = DecodeRecords(ValueOf(answer).body);
          if (records.has_value()) {
            LOG(INFO) << "event=job_index_from_peer jobs=" << records->size();
            CompleteIndex(*records);
            return;
          }
        }
        GetFirstIndex(peers);
      });
}

void JobGateway::ReviewOwners() {
  if (is_stopping_ || !registry_.has_listed()) return;
  if (!has_refreshed_index_ && clock_.Now() >= index_retry_.until) {
    // Finds jobs that were accepted before this process started.
    PauseRetries(index_retry_);
    // By rendezvous hashing, so that one peer does not serve all starts.
    auto peers = HomeOrder(registry_.self().name.value(),
                           registry_.self().locality, registry_.Peers());
    peers.resize(std::min(peers.size(), kMaxIndexPeers));
    GetFirstIndex(std::move(peers));
  }
  CheckRegistration();
  ReadUnconfirmedRecords();
  std::vector<StoredRecord> lost;
  std::set<JobId> lost_ids;
  for (const auto& [id, stored] : index_.all()) {
    if (!IsOrphan(stored)) continue;
    lost.push_back(stored);
    lost_ids.insert(id);
  }
  std::erase_if(orphans_, [&](const auto& entry) {
    return !entry.second.is_adopting && !lost_ids.contains(entry.first);
  });
  for (const StoredRecord& stored : lost) ReviewOrphan(stored);
}

void JobGateway::CheckRegistration() {
  const StoreLeaseId lease = registry_.lease();
  if (lease.value() == 0 || lease == registration_lease_) return;
  if (registration_lease_.value() != 0) {
    for (const JobId& id : runner_->OpenJobs()) ConfirmRecord(id, Duration(0));
  }
  registration_lease_ = lease;
}

bool JobGateway::IsOrphan(const StoredRecord& stored) const {
  if (stored.record.is_ended || runner_->Owns(stored.id)) return false;
  if (runner_->IsOwn(stored.record)) return !runner_->IsLoading(stored.id);
  return !IsOwnerRegistered(stored.record);
}

void JobGateway::ReviewOrphan(const StoredRecord& stored) {
  const auto [it, is_new] = orphans_.try_emplace(stored.id);
  Orphan& orphan = it->second;
  if (is_new) orphan.lost_at = clock_.Now();
  if (orphan.is_adopting || orphan.is_probing) return;
  if (clock_.Now() < orphan.retry.until) return;
  if (runner_->IsOwn(stored.record)) {
    LoadOwnJob(stored);
  } else if (!orphan.is_owner_lost) {
    ProbeOwner(stored);
  } else {
    AdoptOrphan(stored);
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
  LOG(INFO) << "event=takeover job=" << stored.id
            << " owner=" << stored.record.owner;
  ReadOrphan(stored.id);
}

void JobGateway::LoadOwnJob(const StoredRecord& stored) {
  // The answer to its accept or takeover was lost, a part of it could not be
  // read, or the job has since been handed over.
  if (is_stopping_ || !IsOrphan(stored)) return;
  if (orphans_[stored.id].is_adopting) return;
  LOG(INFO) << "event=unheld_job job=" << stored.id;
  ReadOrphan(stored.id);
}

void JobGateway::ReadOrphan(const JobId& id) {
  orphans_[id].is_adopting = true;
  store_.ReadRecord(id, [this, id](const Result<StoredRecord>& read) {
    OnOrphanRead(id, read);
  });
}

void JobGateway::OnOrphanRead(const JobId& id,
                              const Result<StoredRecord>& read) {
  if (!IsOk(read)) {
    if (ErrorOf(read).code == ErrorCode::kNotFound) {
      index_.Erase(id);
      orphans_.erase(id);
      return;
    }
    OnOrphanAdopted(id, ErrorOf(read));
    return;
  }
  const StoredRecord& current = ValueOf(read);
  index_.Put(current);
  if (is_stopping_ || !IsOrphan(current)) {
    orphans_.erase(id);
    return;
  }
  const auto done = [this, id](const Result<std::monostate>& result) {
    OnOrphanAdopted(id, result);
  };
  if (runner_->IsOwn(current.record)) {
    runner_->Load(current, JobHandover{}, done);
  } else {
    runner_->Adopt(current, JobHandover{}, done);
  }
}

void JobGateway::OnOrphanAdopted(const JobId& id,
                                 const Result<std::monostate>& result) {
  const auto it = orphans_.find(id);
  if (it == orphans_.end()) return;
  if (IsOk(result)) {
    orphans_.erase(it);
    return;
  }
  // The next review reads the record again: a write whose answer was lost may
  // have made this instance the owner.
  LOG(WARNING) << "event=takeover_delayed job=" << id << " reason=\""
               << ErrorOf(result).message << "\"";
  it->second.is_adopting = false;
  PauseRetries(it->second.retry);
}

void JobGateway::PauseRetries(RetryPause& retry) const {
  retry.pause = std::clamp<Duration>(2 * retry.pause, settings_.min_retry_pause,
                                     settings_.max_retry_pause);
  retry.until = clock_.Now() + retry.pause;
}

// --- Records of unknown state

void JobGateway::OnUnheldJobRequested(const JobId& id) {
  const StoredRecord* known = index_.Find(id);
  if (known != nullptr && known->record.is_ended) return;
  ConfirmRecord(id, Duration(0));
}

void JobGateway::ConfirmRecord(const JobId& id, Duration missing_for) {
  if (is_stopping_) return;
  UnconfirmedRecord& unconfirmed = unconfirmed_[id];
  unconfirmed.until = std::max(unconfirmed.until, clock_.Now() + missing_for);
}

void JobGateway::ReadUnconfirmedRecords() {
  std::vector<JobId> due;
  for (auto& [id, unconfirmed] : unconfirmed_) {
    if (unconfirmed.is_reading || clock_.Now() < unconfirmed.retry.until) {
      continue;
    }
    unconfirmed.is_reading = true;
    due.push_back(id);
  }
  for (const JobId& id : due) {
    store_.ReadRecord(id, [this, id](const Result<StoredRecord>& read) {
      OnUnconfirmedRecordRead(id, read);
    });
  }
}

void JobGateway::OnUnconfirmedRecordRead(const JobId& id,
                                         const Result<StoredRecord>& read) {
  const auto it = unconfirmed_.find(id);
  if (it == unconfirmed_.end()) return;
  if (IsOk(read)) {
    unconfirmed_.erase(it);
    LearnRecord(ValueOf(read));
    if (runner_->IsOwn(ValueOf(read).record)) LoadOwnJob(ValueOf(read));
    return;
  }
  const bool is_missing = ErrorOf(read).code == ErrorCode::kNotFound;
  if (is_missing && clock_.Now() >= it->second.until) {
    unconfirmed_.erase(it);
    return;
  }
  it->second.is_reading = false;
  PauseRetries(it->second.retry);
}

std::vector<Endpoint> JobGateway::OtherOwnerEndpoints() const {
  std::set<Endpoint> owners;
  for (const auto& [id, stored] : index_.all()) {
    const JobRecord& record = stored.record;
    if (record.is_ended || runner_->IsOwn(record)) continue;
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
