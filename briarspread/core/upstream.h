#ifndef BRIARSPREAD_CORE_UPSTREAM_H_
#define BRIARSPREAD_CORE_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread {

/// Network address at which a process listens.
struct Endpoint {
  /// IP address.
  std::string host;
  /// TCP port. Peer digests use the UDP port of the same number.
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// An availability zone and the region that contains it.
struct Locality {
  RegionId region;
  ZoneId zone;

  friend auto operator<=>(const Locality&, const Locality&) = default;
};

/// Kind of a listed instance.
enum class InstanceKind { kEntry, kModelEngine, kPlainService };

/// State of an instance in the platform's instance list.
enum class ListedState { kLive, kLeaving };

/// One entry of the platform's instance list.
struct ListedInstance {
  /// Name of the instance: an `InstanceId` if the kind is `kEntry`, otherwise
  /// an `UpstreamId`.
  std::string name;
  InstanceKind kind = InstanceKind::kEntry;
  /// Name of the model that an engine serves, or of the service that a plain
  /// service instance belongs to.
  std::string serves;
  Endpoint endpoint;
  Locality locality;
  /// Whether the instance accepts new work; may be stale.
  ListedState state = ListedState::kLive;
  /// Version of its software; empty where it is unknown.
  SoftwareVersion software{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_UPSTREAM_H_
