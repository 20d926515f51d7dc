#ifndef BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_
#define BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_

#include <string>

#include "briarspread/core/instance_list.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// Settings of `ConsulStore` and `ConsulInstanceList`.
struct ConsulSettings {
  /// Where the platform's service listens.
  Endpoint endpoint;
  /// How long one call may take, a watch's wait not counted.
  milliseconds timeout{2000};
  /// The catalog's name of the service whose instances are listed.
  std::string service = "briarspread";
};

/// The platform's key-value service, spoken to by the HTTP API that Consul
/// publishes: `/v1/kv/` with `cas`, `recurse`, `index` and `wait`.
class ConsulStore final : public KeyValueStore {
 public:
  /// Precondition: `client` outlives this object.
  ConsulStore(const ConsulSettings& settings, UpstreamClient& client);

  Result<std::optional<KeyValue>> Get(const std::string& key) override;
  Result<std::vector<KeyValue>> List(const std::string& prefix) override;
  Result<SwapOutcome> CompareAndSwap(const std::string& key,
                                     const std::string& value,
                                     StoreIndex expected) override;
  Result<SwapOutcome> Delete(const std::string& key,
                             StoreIndex expected) override;
  Result<std::optional<KeyValue>> Watch(const std::string& key,
                                        StoreIndex after,
                                        milliseconds wait) override;

 private:
  ExchangeOutcome Call(const std::string& method, const std::string& path,
                       const std::string& body, milliseconds extra_wait);
  Result<SwapOutcome> Write(const std::string& method, const std::string& path,
                            const std::string& body);
  Result<std::optional<KeyValue>> ReadOne(const std::string& path,
                                          milliseconds extra_wait);

  /// As given.
  const ConsulSettings settings_;
  /// Carries the calls.
  UpstreamClient& client_;
};

/// The platform's instance list, by Consul's `/v1/catalog/service/` API; kind,
/// zone, region and state stand in each row's `ServiceMeta`.
class ConsulInstanceList final : public InstanceList {
 public:
  /// Precondition: `client` outlives this object.
  ConsulInstanceList(const ConsulSettings& settings, UpstreamClient& client);
  Result<std::vector<ListedInstance>> Read() override;

 private:
  /// As given.
  const ConsulSettings settings_;
  /// Carries the calls.
  UpstreamClient& client_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_
