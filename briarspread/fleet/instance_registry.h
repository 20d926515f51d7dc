#ifndef BRIARSPREAD_FLEET_INSTANCE_REGISTRY_H_
#define BRIARSPREAD_FLEET_INSTANCE_REGISTRY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/fleet/instance_record.h"
#include "briarspread/fleet/store_watch.h"
#include "briarspread/fleet/watch_hub.h"

namespace briarspread {

/// Settings of the registry.
struct InstanceRegistrySettings {
  /// Time to live of the lease: how long a registration remains in the store
  /// after its instance stops renewing the lease.
  milliseconds time_to_live{3000};
  /// Time between two renewals of the lease.
  milliseconds renew_interval{900};
};

/// Registers this instance in the store under a lease, and tracks the other
/// registered instances. Also tracks the record of the order lease, so that one
/// watch covers both. Loop's thread only.
class InstanceRegistry final : public StoreWatchListener {
 public:
  /// Receives events from the loop.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// Called after a change to the instances or to the record of the order
    /// lease was applied.
    virtual void OnInstancesChanged() = 0;
    /// Called with true after a renewal of the lease succeeded, and with false
    /// after a renewal or a grant failed for a reason other than an expired
    /// lease.
    virtual void OnStoreReachable(bool is_reachable) = 0;
  };

  /// Prefix of all watched keys.
  static constexpr char kPrefix[] = "fleet/";
  /// Prefix of the keys of the registrations.
  static constexpr char kInstancePrefix[] = "fleet/instances/";
  /// Key of the record of the order lease.
  static constexpr char kOrderLeaseKey[] = "fleet/order-right";

  /// Watches keys through `watch_store` and makes all other calls to `store`.
  /// `hub` serves the watched changes to other instances; null to serve none.
  /// Precondition: references, and `hub` if not null, outlive this object.
  InstanceRegistry(asio::io_context& loop, AsyncStore& store,
                   AsyncStore& watch_store, WatchHub* hub,
                   const InstanceRegistrySettings& settings,
                   const InstanceRecord& self, Listener& listener);

  void Start();
  /// Marks the registration as leaving, so that peers send no more work.
  void SetLeaving();
  /// Ends the lease and with it the registration. `done` is called whether or
  /// not the store confirms.
  void Leave(std::function<void()> done);
  void RestartWatch() { watch_.Restart(); }

  /// Adds registrations that a peer reported. Has no effect once keys were
  /// listed.
  void Seed(const std::vector<InstanceRecord>& records);

  const InstanceRecord& self() const { return self_; }
  /// All known registered instances by name. Includes this one once its
  /// registration is confirmed.
  const std::map<InstanceId, InstanceRecord>& instances() const {
    return instances_;
  }
  /// Returns the other instances that are not leaving, sorted by name.
  std::vector<InstanceRecord> Peers() const;
  /// Whether the instance is known to be registered with this incarnation.
  bool IsRegistered(const InstanceId& name, Incarnation incarnation) const;
  bool has_listed() const { return watch_.has_listed(); }
  /// The lease that this instance's keys are attached to; zero for none.
  StoreLeaseId lease() const { return lease_; }
  /// The record of the order lease as last watched; nothing if there is none.
  const std::optional<KeyValue>& order_lease_record() const {
    return order_lease_record_;
  }

  void OnListing(const StoreListing& listing) override;
  void OnChanges(const StoreChanges& changes) override;

 private:
  void RequestLease();
  void Register();
  void Renew();
  void ApplyItem(const KeyValue& item);
  void ApplyRemoval(const std::string& key, StoreIndex index);
  /// Whether a watched state of a key was replaced by this instance's own last
  /// registration, of which the watch has not told yet.
  bool IsBeforeOwn(const std::string& key, StoreIndex index) const {
    return key == SelfKey() && index < registered_index_;
  }
  std::string SelfKey() const { return kInstancePrefix + self_.name.value(); }

  AsyncStore& store_;
  const InstanceRegistrySettings settings_;
  InstanceRecord self_;
  Listener& listener_;
  StoreWatch watch_;
  LoopTimer renew_timer_;
  StoreLeaseId lease_;
  bool is_registering_ = false;
  /// The store's index of the last confirmed registration; zero for none.
  StoreIndex registered_index_;
  bool has_left_ = false;
  std::map<InstanceId, InstanceRecord> instances_;
  std::optional<KeyValue> order_lease_record_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_INSTANCE_REGISTRY_H_
