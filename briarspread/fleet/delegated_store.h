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
  /// How long one call waits at the delegate.
  milliseconds wait{1000};
  /// What a delegate may take beyond that before it counts as silent.
  milliseconds slack{500};
  /// How long the store is asked in place of a delegate that failed.
  milliseconds pause{3000};
};

/// A store whose lists and watches are asked of another instance that watches
/// the store itself, and of the store where that one does not answer. Both
/// speak of the store's own index, so that a watch goes on at either. All else
/// goes to the store. Answers the load of many instances that each watch the
/// same keys: the store's calls grow with the delegates. Loop's thread only.
class DelegatedStore final : public AsyncStore {
 public:
  /// The instance to ask; nothing where this one asks the store itself.
  using FindDelegate = std::function<std::optional<Endpoint>()>;

  /// Precondition: references outlive this object.
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
  std::optional<Endpoint> Delegate() const;
  void NoteFailure();

  AsyncStore& store_;
  PeerClient& peers_;
  const Clock& clock_;
  const FindDelegate find_delegate_;
  const DelegatedStoreSettings settings_;
  /// Until when the store is asked.
  TimePoint straight_until_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_DELEGATED_STORE_H_
