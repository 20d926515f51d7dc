#ifndef BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_REGISTRY_H_
#define BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_REGISTRY_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "briarspread/core/upstream.h"
#include "briarspread/routing/circuit_breaker.h"

namespace briarspread {

/// Settings of a `CircuitBreakerRegistry`.
struct CircuitBreakerRegistrySettings {
  /// Settings of each circuit breaker.
  CircuitBreakerSettings breaker;
  /// Maximum fraction of the live upstreams of one model or service that may be
  /// ejected at the same time, below 1. The number of upstreams is rounded
  /// down, so that a sole upstream is never ejected.
  double max_ejected_fraction = 0.5;
};

/// Holds the circuit breakers of all upstreams and limits how many of them may
/// be open at the same time, so that some upstreams stay in use even if all of
/// them fail. Thread-safe.
class CircuitBreakerRegistry {
 public:
  /// Precondition: 0 <= `max_ejected_fraction` < 1.
  explicit CircuitBreakerRegistry(
      const CircuitBreakerRegistrySettings& settings);

  /// Replaces the list of upstreams: adds breakers for new upstreams, removes
  /// the breakers of upstreams that are no longer listed, and updates the
  /// ejection quotas. An upstream whose model or service changed gets a new
  /// breaker.
  void SetListed(const std::vector<ListedInstance>& listed);
  /// Returns the breaker of a listed upstream, or null if the upstream is not
  /// listed.
  std::shared_ptr<CircuitBreaker> Find(const UpstreamId& upstream);

 private:
  /// The breaker of one upstream, and the model or service of the upstream.
  struct Entry {
    std::string serves;
    std::shared_ptr<CircuitBreaker> breaker;
  };
  std::shared_ptr<EjectionQuota> QuotaOf(const std::string& serves);

  const CircuitBreakerRegistrySettings settings_;
  /// Guards the members below.
  std::mutex mutex_;
  std::map<UpstreamId, Entry> breakers_;
  /// Ejection quotas by model or service.
  std::map<std::string, std::shared_ptr<EjectionQuota>> quotas_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_CIRCUIT_BREAKER_REGISTRY_H_
