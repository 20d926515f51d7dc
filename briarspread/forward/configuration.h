#ifndef BRIARSPREAD_FORWARD_CONFIGURATION_H_
#define BRIARSPREAD_FORWARD_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::forward {

/// The number of a configuration; a later one has a higher number.
using ConfigurationVersion =
    StrongValue<struct ConfigurationVersionTag, std::uint64_t>;

/// What may be done with a route's requests.
enum class RouteKind {
  /// Idempotent.
  kIdempotent,
  /// May run once at most.
  kOnce,
  /// Answered by a stream of events.
  kStream,
  /// Batch jobs of samples for a trainer.
  kRollout,
};

/// A service that a route leads to, and its part of the requests.
struct Backend {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Where the requests of a host and path prefix go.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kOnce;
  /// The longest that a request waits; zero for no limit.
  milliseconds timeout{0};
  /// Within this time an answer is worth most.
  milliseconds latency_goal{0};
  /// Rank; zero goes first.
  std::uint32_t priority = 0;
  /// Never empty.
  std::vector<Backend> backends;
  /// Upstreams that one request may run on.
  std::uint32_t max_attempts = 1;
  /// Whether a stream may go on at another upstream.
  bool is_resumable = false;
  /// Batch jobs: when all results are due, and when an item may be given up,
  /// both after submission.
  milliseconds due{0};
  milliseconds item_time_to_live{0};
  /// Batch jobs: each sample is to be made by one version of the weights.
  bool wants_single_version = false;

  /// Whether its requests may run more than once.
  bool is_idempotent() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && is_resumable);
  }
};

/// A kind of upstream.
struct Service {
  ServiceName name;
  /// Models that its upstreams run; empty for a plain service.
  std::vector<ModelName> models;
  /// Tokens that the memory of one upstream holds; zero where not known.
  std::uint64_t memory_tokens = 0;
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// All that the operator has configured. Immutable once in force.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;

  /// The route of the host with the longest prefix that begins `path`, or null.
  /// `host` may carry a port. Thread-safe.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// The service, or null. Thread-safe.
  const Service* FindService(const ServiceName& name) const;
};

/// The service that takes a request whose number is `draw`, any 64 bits.
/// Precondition: the route has backends. Thread-safe.
const ServiceName& ChooseBackend(const Route& route, std::uint64_t draw);

/// Holds the configuration in force. It never goes back. Loop's thread only.
class ConfigurationHolder final {
 public:
  /// Takes a configuration into force if it is newer. Returns whether it was.
  bool Offer(std::shared_ptr<const Configuration> offered);
  /// The one in force; null before the first.
  const std::shared_ptr<const Configuration>& current() const {
    return current_;
  }

 private:
  std::shared_ptr<const Configuration> current_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_CONFIGURATION_H_
