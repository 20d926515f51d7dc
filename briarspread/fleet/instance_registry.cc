#include "briarspread/fleet/instance_registry.h"

#include <glog/logging.h>

#include <string_view>
#include <utility>

#include "briarspread/core/bounded_json.h"

namespace briarspread {
namespace {

std::optional<InstanceRecord> Parse(const std::string& text) {
  const auto json = ParseBoundedJson(text, JsonBounds{});
  if (json.is_discarded()) {
    LOG(WARNING) << "event=registration_skipped bytes=" << text.size();
    return std::nullopt;
  }
  try {
    return json.get<InstanceRecord>();
  } catch (const nlohmann::json::exception& error) {
    LOG(WARNING) << "event=registration_skipped reason=\"" << error.what()
                 << "\"";
    return std::nullopt;
  }
}

}  // namespace

InstanceRegistry::InstanceRegistry(asio::io_context& loop, AsyncStore& store,
                                   AsyncStore& watch_store, WatchHub* hub,
                                   const InstanceRegistrySettings& settings,
                                   const InstanceRecord& self,
                                   Listener& listener)
    : store_(store),
      settings_(settings),
      self_(self),
      listener_(listener),
      watch_(loop, watch_store, kPrefix, StoreWatchSettings{},
             hub == nullptr ? *this : hub->WrapListener(kPrefix, *this)),
      renew_timer_(loop) {}

void InstanceRegistry::Start() {
  RequestLease();
  watch_.Start();
  renew_timer_.Every(settings_.renew_interval, [this] { Renew(); });
}

void InstanceRegistry::RequestLease() {
  if (is_registering_ || has_left_) return;
  is_registering_ = true;
  store_.GrantLease(settings_.time_to_live,
                    [this](const Result<StoreLease>& granted) {
                      is_registering_ = false;
                      if (!IsOk(granted)) {
                        listener_.OnStoreReachable(false);
                        return;
                      }
                      lease_ = ValueOf(granted).id;
                      Register();
                    });
}

void InstanceRegistry::Register() {
  if (is_registering_ || has_left_) return;
  is_registering_ = true;
  StoreTransaction put;
  put.writes.push_back({SelfKey(), nlohmann::json(self_).dump(), lease_});
  store_.Commit(std::move(put), [this](const Result<StoreOutcome>& outcome) {
    is_registering_ = false;
    if (IsOk(outcome)) {
      if (const auto* ok = std::get_if<StoreCommitted>(&ValueOf(outcome))) {
        registered_index_ = ok->index;
      }
      instances_[self_.name] = self_;
      return;
    }
    // If only the answer was lost, the next renewal recovers: it registers
    // again unless the watch has reported this registration.
    if (ErrorOf(outcome).code == ErrorCode::kNotFound) lease_ = {};
  });
}

void InstanceRegistry::Renew() {
  if (has_left_) return;
  if (lease_.value() == 0) {
    RequestLease();
    return;
  }
  const auto it = instances_.find(self_.name);
  if (it == instances_.end() || it->second != self_) Register();
  store_.RenewLease(lease_, [this](const Result<StoreLease>& kept) {
    if (IsOk(kept)) {
      listener_.OnStoreReachable(true);
      return;
    }
    if (ErrorOf(kept).code == ErrorCode::kNotFound) {
      lease_ = {};
      RequestLease();
      return;
    }
    listener_.OnStoreReachable(false);
  });
}

void InstanceRegistry::SetLeaving() {
  if (self_.is_leaving) return;
  self_.is_leaving = true;
  if (lease_.value() != 0) Register();
}

void InstanceRegistry::Leave(std::function<void()> done) {
  has_left_ = true;
  renew_timer_.Cancel();
  if (lease_.value() == 0) {
    done();
    return;
  }
  store_.EndLease(lease_, [done = std::move(done)](
                              const Result<std::monostate>&) { done(); });
}

void InstanceRegistry::Seed(const std::vector<InstanceRecord>& records) {
  if (watch_.has_listed()) return;
  for (const InstanceRecord& record : records) {
    if (record.name != self_.name) instances_[record.name] = record;
  }
  listener_.OnInstancesChanged();
}

std::vector<InstanceRecord> InstanceRegistry::Peers() const {
  std::vector<InstanceRecord> peers;
  for (const auto& [name, record] : instances_) {
    if (name != self_.name && !record.is_leaving) peers.push_back(record);
  }
  return peers;
}

bool InstanceRegistry::IsRegistered(const InstanceId& name,
                                    Incarnation incarnation) const {
  if (name == self_.name) return incarnation == self_.incarnation;
  const auto it = instances_.find(name);
  return it != instances_.end() && it->second.incarnation == incarnation;
}

void InstanceRegistry::ApplyItem(const KeyValue& item) {
  if (item.key == kOrderLeaseKey) {
    order_lease_record_ = item;
    return;
  }
  if (!std::string_view{item.key}.starts_with(kInstancePrefix)) return;
  if (IsBeforeOwn(item.key, item.index)) return;
  const auto record = Parse(item.value);
  if (record.has_value()) instances_[record->name] = *record;
}

void InstanceRegistry::ApplyRemoval(const std::string& key, StoreIndex index) {
  if (key == kOrderLeaseKey) order_lease_record_.reset();
  if (!std::string_view{key}.starts_with(kInstancePrefix)) return;
  if (IsBeforeOwn(key, index)) return;
  instances_.erase(
      InstanceId(key.substr(std::string_view(kInstancePrefix).size())));
}

void InstanceRegistry::OnListing(const StoreListing& listing) {
  // A listing from before the registration does not take it away: it would be
  // written again.
  const bool has_self = instances_.contains(self_.name) &&
                        listing.store_index < registered_index_;
  instances_.clear();
  if (has_self) instances_[self_.name] = self_;
  order_lease_record_.reset();
  for (const KeyValue& item : listing.items) ApplyItem(item);
  listener_.OnInstancesChanged();
}

void InstanceRegistry::OnChanges(const StoreChanges& changes) {
  for (const StoreChange& change : changes.changes) {
    if (change.value.has_value()) {
      ApplyItem(KeyValue{change.key, *change.value, change.index});
    } else {
      ApplyRemoval(change.key, change.index);
    }
    LOG(INFO) << "event=registration_changed key=" << change.key
              << " is_there=" << change.value.has_value()
              << " instances=" << instances_.size();
  }
  listener_.OnInstancesChanged();
}

}  // namespace briarspread
