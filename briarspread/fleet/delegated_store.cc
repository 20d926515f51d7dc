#include "briarspread/fleet/delegated_store.h"

#include <glog/logging.h>

#include <asio/post.hpp>
#include <utility>

#include "briarspread/fleet/watch_hub.h"

namespace briarspread {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

DelegatedStore::DelegatedStore(asio::io_context& loop, AsyncStore& store,
                               PeerClient& peers, const Clock& clock,
                               RandomSource& random,
                               FindDelegates find_delegates,
                               const DelegatedStoreSettings& settings)
    : loop_(loop),
      store_(store),
      peers_(peers),
      clock_(clock),
      random_(random),
      find_delegates_(std::move(find_delegates)),
      settings_(settings) {}

bool DelegatedStore::IsAtStore(const std::string& prefix) const {
  const auto it = is_at_store_.find(prefix);
  return it != is_at_store_.end() && it->second;
}

bool DelegatedStore::DependsOnOwnPath(const std::string& prefix) const {
  return IsAtStore(prefix) || find_delegates_().empty();
}

void DelegatedStore::Count(const Query& query, std::string_view asked) {
  ++counts_[query.prefix + " " + std::string(asked)];
}

void DelegatedStore::Bypass(const Endpoint& delegate, bool has_answered) {
  LOG_EVERY_N(INFO, 10) << "event=delegate_failed delegate=" << delegate.host
                        << ":" << delegate.port
                        << " has_answered=" << has_answered;
  bypassed_until_[delegate] =
      clock_.Now() +
      (has_answered ? settings_.refusal_pause : settings_.bypass_time);
}

bool DelegatedStore::IsLatest(const QueryPtr& query) const {
  const auto it = latest_.find(query->prefix);
  return it != latest_.end() && it->second == query;
}

void DelegatedStore::SetAtStore(const QueryPtr& query, bool is_at_store) {
  // The failure of a query that was replaced says nothing about the new one.
  if (IsLatest(query)) is_at_store_[query->prefix] = is_at_store;
}

void DelegatedStore::Begin(const QueryPtr& query) {
  latest_[query->prefix] = query;
  const TimePoint now = clock_.Now();
  std::erase_if(bypassed_until_,
                [now](const auto& entry) { return entry.second <= now; });
  query->delegates = find_delegates_();
  query->is_follower = !query->delegates.empty();
  std::erase_if(query->delegates, [this](const Endpoint& delegate) {
    return bypassed_until_.contains(delegate);
  });
  AskNext(query);
}

void DelegatedStore::AskNext(const QueryPtr& query) {
  if (!IsLatest(query)) {
    Fail(query, "the query was replaced by a later one");
    return;
  }
  if (query->next == query->delegates.size()) {
    AskStore(query);
    return;
  }
  SetAtStore(query, false);
  const Endpoint delegate = query->delegates[query->next];
  const milliseconds wait =
      query->next == 0 ? settings_.wait : settings_.failover_wait;
  ++query->next;
  peers_.Call(delegate, query->make_call(wait),
              [this, query, delegate](const Result<proxy::Response>& answer) {
                if (IsOk(answer) && query->take_answer(ValueOf(answer))) {
                  Count(*query, "peer");
                  return;
                }
                Bypass(delegate, IsOk(answer));
                AskNext(query);
              });
}

void DelegatedStore::AskStore(const QueryPtr& query) {
  if (query->is_follower && clock_.Now() < store_pause_until_) {
    SetAtStore(query, false);
    Count(*query, "held_back");
    Fail(query, "delegates failed, and the store shortly before");
    return;
  }
  SetAtStore(query, true);
  Count(*query, query->is_follower ? "store delegates_failed" : "store own");
  query->ask_store(query);
}

void DelegatedStore::Fail(const QueryPtr& query, const std::string& reason) {
  asio::post(loop_, [query, reason] {
    query->fail(Error{ErrorCode::kUnavailable, Verdict::kNotRun, reason});
  });
}

template <typename T>
AsyncStore::Done<T> DelegatedStore::OnStoreAnswer(const QueryPtr& query,
                                                  Done<T> done) {
  return [this, query, done = std::move(done)](Result<T> result) {
    const bool has_failed =
        !IsOk(result) && ErrorOf(result).code == ErrorCode::kUnavailable;
    if (has_failed) SetAtStore(query, false);
    if (has_failed && query->is_follower) {
      const double share = (1 + random_.Fraction()) / 2;
      store_pause_until_ = clock_.Now() + std::chrono::duration_cast<Duration>(
                                              settings_.store_pause * share);
    }
    done(std::move(result));
  };
}

void DelegatedStore::List(const std::string& prefix, Done<StoreListing> done) {
  auto query = std::make_shared<Query>();
  query->prefix = prefix;
  query->make_call = [this, prefix](milliseconds) {
    PeerCall call;
    call.target = std::string(WatchHub::kListingPath) +
                  "?prefix=" + proxy::EncodeParameter(prefix);
    call.timeout = settings_.slack;
    return call;
  };
  query->take_answer = [done](const proxy::Response& answer) {
    if (answer.head.status != kOk) return false;
    auto listing = DecodeListing(answer.body);
    if (!listing.has_value()) return false;
    done(std::move(*listing));
    return true;
  };
  query->ask_store = [this, done](const QueryPtr& asked) {
    store_.List(asked->prefix, OnStoreAnswer<StoreListing>(asked, done));
  };
  query->fail = [done](Error error) { done(std::move(error)); };
  Begin(query);
}

void DelegatedStore::Watch(const std::string& prefix, StoreIndex after,
                           milliseconds wait, Done<StoreChanges> done) {
  auto query = std::make_shared<Query>();
  query->prefix = prefix;
  query->make_call = [this, prefix, after](milliseconds peer_wait) {
    PeerCall call;
    call.target = std::string(WatchHub::kChangesPath) +
                  "?prefix=" + proxy::EncodeParameter(prefix) +
                  "&after=" + std::to_string(after.value()) +
                  "&wait=" + std::to_string(peer_wait.count());
    call.timeout = peer_wait + settings_.slack;
    return call;
  };
  query->take_answer = [done](const proxy::Response& answer) {
    if (answer.head.status == kGone) {
      done(Error{ErrorCode::kStale, Verdict::kNotRun,
                 "delegate no longer holds the changes"});
      return true;
    }
    if (answer.head.status != kOk) return false;
    auto changes = DecodeChanges(answer.body);
    if (!changes.has_value()) return false;
    changes->is_from_peer = true;
    done(std::move(*changes));
    return true;
  };
  query->ask_store = [this, after, wait, done](const QueryPtr& asked) {
    store_.Watch(asked->prefix, after, wait,
                 OnStoreAnswer<StoreChanges>(asked, done));
  };
  query->fail = [done](Error error) { done(std::move(error)); };
  Begin(query);
}

}  // namespace briarspread
