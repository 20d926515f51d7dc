#ifndef BRIARSPREAD_ROUTING_BREAKER_PANEL_H_
#define BRIARSPREAD_ROUTING_BREAKER_PANEL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "briarspread/core/upstream.h"
#include "briarspread/routing/circuit_breaker.h"

namespace briarspread {

/// How the panel bounds ejections.
struct BreakerPanelSettings {
  /// Each breaker's settings.
  CircuitBreakerSettings breaker;
  /// The largest fraction of the upstreams of one model or service that may be
  /// ejected at once, below 1; rounded down, so that a single one stays in.
  double most_ejected = 0.5;
};

/// The circuit breakers of all upstreams. They cannot empty the fleet: where
/// too many upstreams fail, the rest stay in use. Thread-safe.
class BreakerPanel {
 public:
  /// Precondition: 0 <= `most_ejected` < 1.
  explicit BreakerPanel(const BreakerPanelSettings& settings);

  /// Takes the upstreams now listed: adds breakers, drops those of upstreams
  /// that are gone, and sets how many may be ejected.
  void SetListed(const std::vector<ListedInstance>& listed);
  /// The breaker of a listed upstream, or null.
  std::shared_ptr<CircuitBreaker> Find(const UpstreamId& upstream);

 private:
  /// One upstream's breaker, and what it serves.
  struct Entry {
    std::string serves;
    std::shared_ptr<CircuitBreaker> breaker;
  };
  std::shared_ptr<EjectionQuota> QuotaOf(const std::string& serves);

  const BreakerPanelSettings settings_;
  /// Guards the members below.
  std::mutex mutex_;
  /// Breakers by upstream.
  std::map<UpstreamId, Entry> breakers_;
  /// Quotas by model or service.
  std::map<std::string, std::shared_ptr<EjectionQuota>> quotas_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_BREAKER_PANEL_H_
