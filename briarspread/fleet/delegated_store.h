#ifndef BRIARSPREAD_FLEET_DELEGATED_STORE_H_
#define BRIARSPREAD_FLEET_DELEGATED_STORE_H_

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/async_store.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/fleet/peer_client.h"

namespace briarspread {

/// Settings of delegated watches. A follower notices a change at the latest
/// `wait` + `slack` + `failover_wait` + `slack` after it was made, also if both
/// delegates freeze at once, plus the time of a call to the store.
struct DelegatedStoreSettings {
  /// The longest that a watch call waits at the first delegate for a change.
  milliseconds wait{1000};
  /// The longest that it waits at a further delegate after the first failed.
  milliseconds failover_wait{300};
  /// Time beyond the wait after which a call to a delegate times out; the whole
  /// timeout of a listing.
  milliseconds slack{400};
  /// How long a delegate is not asked after it did not answer.
  milliseconds bypass_time{3000};
  /// How long a delegate is not asked after it answered that it cannot serve.
  milliseconds refusal_pause{700};
  /// After a follower's call to the store failed, it sends the store no further
  /// lists and watches for a random time between half of this and this.
  /// Together with the longest backoff of a `StoreWatch` it bounds the time
  /// until a follower notices that the store is back.
  milliseconds store_pause{900};
};

/// A store client that sends lists and watches to a delegate, which is another
/// instance that watches the store itself; to a second delegate if the first
/// fails; and to the store if both fail. All use the store's index, so a watch
/// can continue at any of them. All other calls go to the store. With many
/// instances that watch the same keys, the load on the store grows with the
/// number of delegates instead of the number of instances. Loop's thread only.
class DelegatedStore final : public AsyncStore {
 public:
  /// Returns the peer endpoints of the delegates in the order in which they are
  /// to be asked; none if this instance is to call the store itself.
  using FindDelegates = std::function<std::vector<Endpoint>()>;

  /// Precondition: references outlive this object, and this object outlives its
  /// calls in flight.
  DelegatedStore(asio::io_context& loop, AsyncStore& store, PeerClient& peers,
                 const Clock& clock, RandomSource& random,
                 FindDelegates find_delegates,
                 const DelegatedStoreSettings& settings);

  void List(const std::string& prefix, Done<StoreListing> done) override;
  void Watch(const std::string& prefix, StoreIndex after, milliseconds wait,
             Done<StoreChanges> done) override;

  /// Whether the latest list or watch of this prefix was sent to the store and
  /// has not failed, so that its result is not older than the store's answers.
  bool IsAtStore(const std::string& prefix) const;
  /// Whether the watch of this prefix depends on this instance's own path to
  /// the store: it waits there, or there is no delegate to ask.
  bool DependsOnOwnPath(const std::string& prefix) const;

  /// Returns the number of lists and watches, keyed by prefix and by who was
  /// asked: `peer`, the store because this instance is a delegate or knows no
  /// peer (`store own`), the store because the delegates failed
  /// (`store delegates_failed`), or nobody (`held_back`).
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

  void Get(const std::string& key,
           Done<std::optional<KeyValue>> done) override {
    store_.Get(key, std::move(done));
  }
  void Commit(StoreTransaction transaction, Done<StoreOutcome> done) override {
    store_.Commit(std::move(transaction), std::move(done));
  }
  void GrantLease(milliseconds time_to_live, Done<StoreLease> done) override {
    store_.GrantLease(time_to_live, std::move(done));
  }
  void RenewLease(StoreLeaseId lease, Done<StoreLease> done) override {
    store_.RenewLease(lease, std::move(done));
  }
  void EndLease(StoreLeaseId lease, Done<std::monostate> done) override {
    store_.EndLease(lease, std::move(done));
  }

 private:
  /// A list or watch on its way along the delegates to the store.
  struct Query {
    std::string prefix;
    /// The delegates to ask, and the position of the next one.
    std::vector<Endpoint> delegates;
    std::size_t next = 0;
    bool is_follower = false;
    /// Makes the call to a delegate that may wait this long.
    std::function<PeerCall(milliseconds wait)> make_call;
    /// Completes the query by a delegate's answer; returns false if the answer
    /// is not usable.
    std::function<bool(const proxy::Response& answer)> take_answer;
    /// Asks the store. Gets the query as an argument, since a copy in the
    /// function would keep the query alive for good.
    std::function<void(const std::shared_ptr<Query>& asked)> ask_store;
    std::function<void(Error error)> fail;
  };
  using QueryPtr = std::shared_ptr<Query>;

  /// Sets the delegates of a query and asks the first of them.
  void Begin(const QueryPtr& query);
  void AskNext(const QueryPtr& query);
  void AskStore(const QueryPtr& query);
  /// Returns a callback of a call to the store that notes a failure and calls
  /// `done`.
  template <typename T>
  Done<T> OnStoreAnswer(const QueryPtr& query, Done<T> done);
  /// Calls the query's `fail` from the loop.
  void Fail(const QueryPtr& query, const std::string& reason);
  /// Whether no later query of the same prefix has begun.
  bool IsLatest(const QueryPtr& query) const;
  /// Records whether the query is at the store, if it is the latest one.
  void SetAtStore(const QueryPtr& query, bool is_at_store);
  /// Stops asking a delegate for a while. `has_answered` says whether it
  /// answered at all.
  void Bypass(const Endpoint& delegate, bool has_answered);
  void Count(const Query& query, std::string_view asked);

  asio::io_context& loop_;
  AsyncStore& store_;
  PeerClient& peers_;
  const Clock& clock_;
  RandomSource& random_;
  const FindDelegates find_delegates_;
  const DelegatedStoreSettings settings_;
  /// Until when delegates that failed are not asked.
  std::map<Endpoint, TimePoint> bypassed_until_;
  /// Until this time a follower sends no lists and watches to the store.
  TimePoint store_pause_until_{};
  /// By prefix, whether the latest call is at the store; absent before the
  /// first call.
  std::map<std::string, bool> is_at_store_;
  /// The query of each prefix that began last. A watch that is restarted leaves
  /// an earlier one behind.
  std::map<std::string, QueryPtr> latest_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_DELEGATED_STORE_H_
