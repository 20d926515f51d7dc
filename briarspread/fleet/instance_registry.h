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
  /// How long a registration outlives its instance.
  milliseconds time_to_live{3000};
  /// How often the lease is renewed.
  milliseconds renew_interval{900};
};

/// Registers this instance in the store under a lease, and knows the others.
/// Also holds the record of who may order upstreams, since one watch then tells
/// of both. Loop's thread only.
class InstanceRegistry final : public StoreWatchListener {
 public:
  /// Hears of changes, after they were taken in.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnInstancesChanged() = 0;
    /// Renewing the lease worked, or not: the store can be reached, or not.
    virtual void OnStoreReachable(bool is_reachable) = 0;
  };

  /// The keys' prefix, and that of the registrations.
  static constexpr char kPrefix[] = "fleet/";
  static constexpr char kInstancePrefix[] = "fleet/instances/";
  /// The key that says who may order upstreams.
  static constexpr char kOrderRightKey[] = "fleet/order-right";

  /// Precondition: references outlive this object.
  /// `watched` is where changes are heard of, and `hub` shows them to others;
  /// null for nobody.
  InstanceRegistry(asio::io_context& loop, AsyncStore& store,
                   AsyncStore& watched, WatchHub* hub,
                   const InstanceRegistrySettings& settings,
                   const InstanceRecord& self, Listener& listener);

  void Start();
  /// Registers as leaving, so that peers send no more work.
  void SetLeaving();
  /// Gives the registration up. `done` is called in any case.
  void Leave(std::function<void()> done);
  void RestartWatch() { watch_.Restart(); }

  /// Takes in what a peer knows, while the store was never reached.
  void Seed(const std::vector<InstanceRecord>& records);

  const InstanceRecord& self() const { return self_; }
  /// All instances registered, this one included, by name.
  const std::map<InstanceId, InstanceRecord>& instances() const {
    return instances_;
  }
  /// The others that take work, by name.
  std::vector<InstanceRecord> Peers() const;
  /// Whether this very start is registered, as far as is known.
  bool IsRegistered(const InstanceId& name, Incarnation incarnation) const;
  bool has_listed() const { return watch_.has_listed(); }
  /// The lease under which this instance's keys stand; zero for none.
  StoreLeaseId lease() const { return lease_; }
  /// The record of who may order upstreams; nothing where there is none.
  const std::optional<KeyValue>& order_right() const { return order_right_; }

  void OnListing(const StoreListing& listing) override;
  void OnChanges(const StoreChanges& changes) override;

 private:
  void Grant();
  void Register();
  void Renew();
  void TakeItem(const KeyValue& item);
  void TakeRemoval(const std::string& key);
  std::string SelfKey() const { return kInstancePrefix + self_.name.value(); }

  AsyncStore& store_;
  const InstanceRegistrySettings settings_;
  InstanceRecord self_;
  Listener& listener_;
  StoreWatch watch_;
  LoopTimer renew_timer_;
  StoreLeaseId lease_;
  bool is_registering_ = false;
  bool has_left_ = false;
  std::map<InstanceId, InstanceRecord> instances_;
  std::optional<KeyValue> order_right_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_INSTANCE_REGISTRY_H_
