#ifndef BRIARSPREAD_FLEET_DELEGATED_STORE_H_
#define BRIARSPREAD_FLEET_DELEGATED_STORE_H_

#include <functional>
#include <optional>
#include <string>

#include "briarspread/core/async_store.h"
#include "briarspread/core/clock.h"
#include "briarspread/fleet/peer_client.h"

namespace briarspread {

/// Settings of delegated watches.
struct DelegatedStoreSettings {
  /// The longest that a watch call waits at the delegate for a change.
  milliseconds wait{1000};
  /// Time beyond `wait` after which a call to the delegate times out; the whole
  /// timeout of a listing.
  milliseconds slack{500};
  /// How long lists and watches go to the store after a delegate failed.
  milliseconds bypass_time{3000};
};

/// A store client that sends lists and watches to a delegate, which is another
/// instance that watches the store itself, and falls back to the store if the
/// delegate fails. Both use the store's index, so a watch can continue at
/// either of them. All other calls go to the store. With many instances that
/// watch the same keys, the load on the store grows with the number of
/// delegates instead of the number of instances. Loop's thread only.
class DelegatedStore final : public AsyncStore {
 public:
  /// Returns the peer endpoint of the delegate; nothing if this instance is to
  /// call the store itself.
  using FindDelegate = std::function<std::optional<Endpoint>()>;

  /// Precondition: references outlive this object, and this object outlives its
  /// calls in flight.
  DelegatedStore(AsyncStore& store, PeerClient& peers, const Clock& clock,
                 FindDelegate find_delegate,
                 const DelegatedStoreSettings& settings);

  void List(const std::string& prefix, Done<StoreListing> done) override;
  void Watch(const std::string& prefix, StoreIndex after, milliseconds wait,
             Done<StoreChanges> done) override;

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
  /// Returns the delegate to call; nothing if the store is to be called.
  std::optional<Endpoint> CurrentDelegate() const;
  /// Sends calls to the store for `settings_.bypass_time`.
  void BypassDelegate();

  AsyncStore& store_;
  PeerClient& peers_;
  const Clock& clock_;
  const FindDelegate find_delegate_;
  const DelegatedStoreSettings settings_;
  /// Until this time lists and watches go to the store.
  TimePoint bypass_until_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_DELEGATED_STORE_H_
