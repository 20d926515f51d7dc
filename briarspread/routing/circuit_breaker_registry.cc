#include "briarspread/routing/circuit_breaker_registry.h"

#include <cassert>
#include <cstdint>
#include <utility>

namespace briarspread {

CircuitBreakerRegistry::CircuitBreakerRegistry(
    const CircuitBreakerRegistrySettings& settings)
    : settings_(settings) {
  assert(settings.max_ejected_fraction >= 0 &&
         settings.max_ejected_fraction < 1);
}

std::shared_ptr<EjectionQuota> CircuitBreakerRegistry::QuotaOf(
    const std::string& serves) {
  std::shared_ptr<EjectionQuota>& quota = quotas_[serves];
  if (quota == nullptr) quota = std::make_shared<EjectionQuota>();
  return quota;
}

void CircuitBreakerRegistry::SetListed(
    const std::vector<ListedInstance>& listed) {
  std::lock_guard lock(mutex_);
  std::map<UpstreamId, Entry> next;
  std::map<std::string, std::uint32_t> counts;
  for (const ListedInstance& instance : listed) {
    if (instance.kind == InstanceKind::kEntry) continue;
    if (instance.state == ListedState::kLive) ++counts[instance.serves];
    const UpstreamId id(instance.name);
    const auto old = breakers_.find(id);
    if (old != breakers_.end() && old->second.serves == instance.serves) {
      next[id] = old->second;
      continue;
    }
    next[id] = {instance.serves,
                std::make_shared<CircuitBreaker>(settings_.breaker,
                                                 QuotaOf(instance.serves))};
  }
  breakers_ = std::move(next);
  for (auto& [serves, quota] : quotas_) {
    quota->SetLimit(static_cast<std::uint32_t>(settings_.max_ejected_fraction *
                                               counts[serves]));
  }
}

std::shared_ptr<CircuitBreaker> CircuitBreakerRegistry::Find(
    const UpstreamId& upstream) {
  std::lock_guard lock(mutex_);
  const auto it = breakers_.find(upstream);
  return it == breakers_.end() ? nullptr : it->second.breaker;
}

}  // namespace briarspread
