#include "briarspread/forward/configuration.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspread::forward {

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const Service* Configuration::FindService(const ServiceName& name) const {
  const auto it = std::find_if(
      services.begin(), services.end(),
      [&](const Service& service) { return service.name == name; });
  return it == services.end() ? nullptr : &*it;
}

const ServiceName& ChooseBackend(const Route& route, std::uint64_t draw) {
  assert(!route.backends.empty());
  std::uint64_t total = 0;
  for (const Backend& backend : route.backends) total += backend.weight;
  if (total == 0) return route.backends.front().service;
  std::uint64_t position = draw % total;
  for (const Backend& backend : route.backends) {
    if (position < backend.weight) return backend.service;
    position -= backend.weight;
  }
  return route.backends.back().service;
}

bool ConfigurationHolder::UpdateIfNewer(
    std::shared_ptr<const Configuration> configuration) {
  if (current_ != nullptr && configuration->version <= current_->version) {
    return false;
  }
  current_ = std::move(configuration);
  return true;
}

RouteLookup ConfigurationHolder::FindRoute(std::string_view host,
                                           std::string_view path,
                                           ConfigurationVersion since) const {
  if (current_ == nullptr || current_->version < since) return RouteUnknown{};
  const Route* route = current_->FindRoute(host, path);
  if (route == nullptr) return RouteAbsent{};
  return route;
}

}  // namespace briarspread::forward
