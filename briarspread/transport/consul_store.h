#ifndef BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_
#define BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_

#include <string>

#include "briarspread/core/instance_list.h"
#include "briarspread/core/key_value_store.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// Settings of `ConsulStore` and `ConsulInstanceList`.
struct ConsulSettings {
  /// The address of the platform's key-value service and catalog.
  Endpoint endpoint;
  /// Maximum duration of one call; a watch may take its `wait` in addition.
  milliseconds timeout{2000};
  /// The name in the catalog of the service whose instances are listed.
  std::string service = "briarspread";
};

/// A client of the platform's key-value service. Uses Consul's HTTP API:
/// `/v1/kv/` with the parameters `cas`, `recurse`, `index` and `wait`.
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

  const ConsulSettings settings_;
  UpstreamClient& client_;
};

/// Reads the platform's instance list through Consul's `/v1/catalog/service/`
/// API. Kind, zone, region and state are read from each row's `ServiceMeta`.
class ConsulInstanceList final : public InstanceList {
 public:
  /// Precondition: `client` outlives this object.
  ConsulInstanceList(const ConsulSettings& settings, UpstreamClient& client);
  Result<std::vector<ListedInstance>> Read() override;

 private:
  const ConsulSettings settings_;
  UpstreamClient& client_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_CONSUL_STORE_H_
