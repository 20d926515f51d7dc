#include "briarspread/batch/job_gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "briarspread/batch/job_calls.h"
#include "briarspread/batch/job_validation.h"
#include "briarspread/fleet/home_order.h"

namespace briarspread::batch {
namespace {

constexpr int kOk = 200;
/// Status of a peer's answer that promises that nothing was executed.
constexpr int kNotRunStatus = 503;

/// Whether a call to a peer that did not succeed may have been executed.
bool MayHaveRun(const Result<proxy::Response>& answer) {
  if (!IsOk(answer)) return ErrorOf(answer).verdict != Verdict::kNotRun;
  return ValueOf(answer).head.status != kNotRunStatus;
}

Error NoSuchJob() {
  return Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such job"};
}

std::optional<accounts::AccountId> AccountOf(const JobSpec& spec) {
  if (spec.account.value().empty()) return std::nullopt;
  return spec.account;
}

/// Returns a callback that passes a result on to `done`, but an error never as
/// not run.
JobGateway::Done<std::monostate> NeverNotRun(
    JobGateway::Done<std::monostate> done) {
  return [done = std::move(done)](const Result<std::monostate>& result) {
    if (IsOk(result)) {
      done(result);
      return;
    }
    Error error = ErrorOf(result);
    error.verdict = Verdict::kMayHaveRun;
    done(error);
  };
}

}  // namespace

JobGateway::JobGateway(asio::io_context& loop, JobStore& store,
                       InstanceRegistry& registry, PeerClient& peers,
                       const Clock& clock, const JobGatewaySettings& settings)
    : store_(store),
      registry_(registry),
      peers_(peers),
      clock_(clock),
      settings_(settings),
      index_(settings.max_indexed_jobs),
      review_timer_(loop),
      index_refresh_timer_(loop) {}

void JobGateway::Start(JobRunner& runner) {
  runner_ = &runner;
  review_timer_.Every(settings_.takeover_interval, [this] { ReviewOwners(); });
  index_refresh_timer_.Every(settings_.index_refresh_interval, [this] {
    // Only the instance with the lowest name lists the store. It takes over
    // jobs as its rank in their home order allows, and notifies the others of
    // the jobs that it adopted.
    const auto peers = registry_.Peers();
    const bool is_first = std::none_of(
        peers.begin(), peers.end(),
        [this](const auto& peer) { return peer.name < registry_.self().name; });
    if (is_first) RefreshIndex();
  });
}

// --- Submitting

void JobGateway::Submit(JobSpec spec, Done<std::monostate> done) {
  if (const Status valid = Validate(spec); !IsOk(valid)) {
    done(valid);
    return;
  }
  const std::optional<JobRecord> known = FindKnownRecord(spec.id);
  if (known.has_value()) {
    if (MayAccess(*known, AccountOf(spec))) {
      done(OkStatus());
    } else {
      done(NoSuchJob());
    }
    return;
  }
  spec.configuration = runner_->configuration_version();
  const std::string home_key = HomeKeyOf(spec);
  std::vector<InstanceRecord> candidates = registry_.Peers();
  candidates.push_back(registry_.self());
  const auto order =
      HomeOrder(home_key, registry_.self().locality, std::move(candidates));
  const bool is_home = order.front().name == registry_.self().name;
  if (is_home && !is_stopping_) {
    runner_->Accept(std::move(spec), home_key, std::move(done));
    return;
  }
  const auto home =
      std::find_if(order.begin(), order.end(), [this](const auto& instance) {
        return instance.name != registry_.self().name;
      });
  if (home == order.end()) {
    done(UnavailableError("stopping"));
    return;
  }
  SubmitToPeer(std::move(spec), *home, std::move(done));
}

void JobGateway::SubmitToPeer(JobSpec spec, const InstanceRecord& home,
                              Done<std::monostate> done) {
  PeerCall call;
  call.method = "POST";
  call.target = "/v1/jobs";
  call.body = Encode(spec);
  call.timeout = settings_.accept_timeout;
  const std::string home_key = HomeKeyOf(spec);
  peers_.Call(home.peer_endpoint, std::move(call),
              [this, spec = std::move(spec), home_key, home,
               done = std::move(done)](const Result<proxy::Response>& answer) {
                if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
                  const auto record = DecodeJobRecord(ValueOf(answer).body);
                  if (record.has_value()) {
                    index_.Put(StoredRecord{spec.id, *record, StoreIndex(1)});
                  }
                  done(OkStatus());
                  return;
                }
                const bool may_have_run = MayHaveRun(answer);
                LOG(INFO) << "event=home_refused job=" << spec.id
                          << " home=" << home.name
                          << " may_have_run=" << may_have_run;
                // Safe although the home may have accepted the job: the store
                // lets only one of the two accept it.
                runner_->Accept(spec, home_key,
                                may_have_run ? NeverNotRun(done) : done);
              });
}

void JobGateway::OnJobRecord(const StoredRecord& stored) {
  const StoredRecord* known = index_.Find(stored.id);
  const bool is_news = known == nullptr || known->index < stored.index;
  const Endpoint former_owner =
      known == nullptr ? Endpoint{} : known->record.owner_endpoint;
  index_.Put(stored);
  if (!IsOrphan(stored)) orphans_.erase(stored.id);
  if (!is_news || !runner_->IsOwn(stored.record)) return;
  AnnounceRecord(stored, former_owner);
}

void JobGateway::AnnounceRecord(const StoredRecord& stored,
                                const Endpoint& former_owner) {
  std::set<Endpoint> receivers;
  for (const InstanceRecord& peer : registry_.Peers()) {
    receivers.insert(peer.peer_endpoint);
  }
  if (former_owner.port != 0) receivers.insert(former_owner);
  receivers.erase(registry_.self().peer_endpoint);
  for (const Endpoint& receiver : receivers) {
    PeerCall notice;
    notice.method = "POST";
    notice.target =
        "/v1/job-notices?id=" + proxy::EncodeParameter(stored.id.value()) +
        "&index=" + std::to_string(stored.index.value());
    notice.body = Encode(stored.record);
    peers_.Call(receiver, std::move(notice),
                [](const Result<proxy::Response>&) {
                  // A peer that misses the notice reads the store.
                });
  }
}

// --- Access

std::optional<JobRecord> JobGateway::FindKnownRecord(const JobId& id) {
  if (runner_->Owns(id)) return runner_->RecordOf(id).record;
  const StoredRecord* indexed = index_.Find(id);
  if (indexed == nullptr) return std::nullopt;
  return indexed->record;
}

void JobGateway::CheckAccess(const JobId& id,
                             const std::optional<accounts::AccountId>& caller,
                             const Done<std::monostate>& done) {
  if (!caller.has_value()) {
    done(OkStatus());
    return;
  }
  const auto check = [caller, done](const JobRecord& record) {
    if (MayAccess(record, caller)) {
      done(OkStatus());
    } else {
      done(NoSuchJob());
    }
  };
  if (const auto known = FindKnownRecord(id)) {
    check(*known);
    return;
  }
  FindRecord(id, [check, done](const Result<StoredRecord>& found) {
    if (!IsOk(found)) {
      done(ErrorOf(found));
      return;
    }
    check(ValueOf(found).record);
  });
}

// --- Reading

bool JobGateway::IsOwnerRegistered(const JobRecord& record) const {
  return registry_.IsRegistered(record.owner, record.incarnation);
}

void JobGateway::LearnRecord(const StoredRecord& stored) {
  index_.Put(stored);
  runner_->OnRecordSeen(stored);
}

void JobGateway::FindRecord(const JobId& id, Done<StoredRecord> done) {
  if (const StoredRecord* known = index_.Find(id)) {
    done(*known);
    return;
  }
  store_.ReadRecord(
      id, [this, done = std::move(done)](const Result<StoredRecord>& read) {
        if (IsOk(read)) LearnRecord(ValueOf(read));
        done(read);
      });
}

void JobGateway::Read(const JobId& id, std::uint64_t after, milliseconds wait,
                      Done<ResultPage> done) {
  if (runner_->Owns(id)) {
    runner_->Read(id, after, wait, std::move(done));
    return;
  }
  FindRecord(id, [this, id, after, wait,
                  done = std::move(done)](const Result<StoredRecord>& found) {
    if (!IsOk(found)) {
      done(ErrorOf(found));
      return;
    }
    const StoredRecord& stored = ValueOf(found);
    if (runner_->IsOwn(stored.record)) {
      if (!stored.record.is_ended) LoadOwnJob(stored);
      ReadFromStore(stored, after, done);
      return;
    }
    ReadFromOwner(stored, after, wait, done);
  });
}

void JobGateway::ReadFromOwner(const StoredRecord& stored, std::uint64_t after,
                               milliseconds wait, Done<ResultPage> done) {
  PeerCall call;
  call.target = JobTarget(stored.id) +
                "/results?after=" + std::to_string(after) +
                "&wait=" + std::to_string(wait.count());
  call.timeout = wait + settings_.call_timeout;
  peers_.Call(
      stored.record.owner_endpoint, std::move(call),
      [this, stored, after,
       done = std::move(done)](const Result<proxy::Response>& answer) {
        if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
          auto page = DecodeResultPage(ValueOf(answer).body);
          const bool is_asked_for =
              page.has_value() && page->next == after + page->results.size();
          if (is_asked_for) {
            done(std::move(*page));
            return;
          }
          LOG(ERROR) << "event=page_mismatch job=" << stored.id
                     << " after=" << after
                     << " next=" << (page.has_value() ? page->next : 0);
        }
        // The owner may have changed. The store has all listed results
        // in any case.
        index_.Erase(stored.id);
        FindRecord(stored.id,
                   [this, after, done](const Result<StoredRecord>& found) {
                     if (!IsOk(found)) {
                       done(ErrorOf(found));
                       return;
                     }
                     ReadFromStore(ValueOf(found), after, done);
                   });
      });
}

void JobGateway::ReadFromStore(const StoredRecord& stored, std::uint64_t after,
                               Done<ResultPage> done) {
  store_.ReadResults(
      stored.id, [stored, after, done = std::move(done)](
                     const Result<std::vector<ItemResult>>& listed) {
        if (!IsOk(listed)) {
          done(ErrorOf(listed));
          return;
        }
        done(MakePage(ValueOf(listed), stored.record.total, after));
      });
}

void JobGateway::ReadBody(const JobId& id, const ItemId& item,
                          Done<std::string> done) {
  if (runner_->Owns(id)) {
    done(runner_->ReadBody(id, item));
    return;
  }
  FindRecord(id, [this, item,
                  done = std::move(done)](const Result<StoredRecord>& found) {
    if (!IsOk(found)) {
      done(ErrorOf(found));
      return;
    }
    const StoredRecord stored = ValueOf(found);
    if (runner_->IsOwn(stored.record)) {
      ReadBodyFromStore(stored, item, done);
      return;
    }
    PeerCall call;
    call.target = JobTarget(stored.id) +
                  "/bodies?item=" + proxy::EncodeParameter(item.value());
    call.timeout = settings_.call_timeout;
    peers_.Call(
        stored.record.owner_endpoint, std::move(call),
        [this, stored, item, done](const Result<proxy::Response>& answer) {
          if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
            done(ValueOf(answer).body);
            return;
          }
          ReadBodyFromStore(stored, item, done);
        });
  });
}

void JobGateway::ReadBodyFromStore(const StoredRecord& stored,
                                   const ItemId& item, Done<std::string> done) {
  store_.ReadSpec(
      stored, [item, done = std::move(done)](const Result<JobSpec>& spec) {
        if (!IsOk(spec)) {
          done(ErrorOf(spec));
          return;
        }
        const auto& items = ValueOf(spec).items;
        const auto it =
            std::find_if(items.begin(), items.end(),
                         [&](const ItemSpec& each) { return each.id == item; });
        if (it == items.end()) {
          done(Error{ErrorCode::kNotFound, Verdict::kNotRun, "no such item"});
          return;
        }
        done(it->body);
      });
}

// --- Ending

void JobGateway::End(const JobId& id, Done<std::monostate> done) {
  if (runner_->Owns(id)) {
    runner_->End(id, std::move(done));
    return;
  }
  FindRecord(id, [this, id,
                  done = std::move(done)](const Result<StoredRecord>& found) {
    if (!IsOk(found)) {
      done(ErrorOf(found));
      return;
    }
    const StoredRecord stored = ValueOf(found);
    if (stored.record.is_ended) {
      done(OkStatus());
      return;
    }
    if (runner_->IsOwn(stored.record)) {
      LoadOwnJob(stored);
      done(UnavailableError("the job is being loaded"));
      return;
    }
    PeerCall call;
    call.method = "DELETE";
    call.target = JobTarget(id);
    call.timeout = settings_.adoption_timeout;
    peers_.Call(stored.record.owner_endpoint, std::move(call),
                [this, id, done](const Result<proxy::Response>& answer) {
                  if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
                    done(OkStatus());
                    return;
                  }
                  EndInStore(id, done);
                });
  });
}

void JobGateway::EndInStore(const JobId& id, Done<std::monostate> done) {
  store_.ReadRecord(
      id, [this, id, done = std::move(done)](const Result<StoredRecord>& read) {
        if (!IsOk(read)) {
          done(ErrorOf(read));
          return;
        }
        StoredRecord stored = ValueOf(read);
        LearnRecord(stored);
        if (stored.record.is_ended) {
          // The answer to an earlier write of the end may have been lost.
          AnnounceRecord(stored, stored.record.owner_endpoint);
          done(OkStatus());
          return;
        }
        if (IsOwnerRegistered(stored.record)) {
          // A registered owner may still run the items.
          done(UnavailableError("the owner does not answer"));
          return;
        }
        stored.record.is_ended = true;
        store_.ReplaceRecord(
            id, stored.record, stored.index,
            [this, stored, done](const Result<RecordOutcome>& outcome) {
              if (!IsOk(outcome)) {
                done(ErrorOf(outcome));
                return;
              }
              const auto* ok = std::get_if<RecordWritten>(&ValueOf(outcome));
              if (ok == nullptr) {
                index_.Erase(stored.id);
                done(UnavailableError("the job has a new owner"));
                return;
              }
              const StoredRecord ended{stored.id, stored.record, ok->index};
              index_.Put(ended);
              orphans_.erase(stored.id);
              // The owner may still run, although it is not registered, or may
              // be loading the job.
              AnnounceRecord(ended, ended.record.owner_endpoint);
              done(OkStatus());
            });
      });
}

}  // namespace briarspread::batch
