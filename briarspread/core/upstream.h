#ifndef BRIARSPREAD_CORE_UPSTREAM_H_
#define BRIARSPREAD_CORE_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarspread/core/ids.h"

namespace briarspread {

/// Where a process listens.
struct Endpoint {
  /// IP number.
  std::string host;
  /// TCP port, and UDP port of the same number for peer digests.
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// A place in the platform: an availability zone and the region it is in.
struct Locality {
  /// The region.
  RegionId region;
  /// The availability zone.
  ZoneId zone;

  friend auto operator<=>(const Locality&, const Locality&) = default;
};

/// What a listed instance is.
enum class InstanceKind { kEntry, kModelEngine, kPlainService };

/// What the platform's instance list says of an instance.
enum class ListedState { kLive, kLeaving };

/// One row of the platform's instance list.
struct ListedInstance {
  /// The instance's name: an `InstanceId` for entries, else an `UpstreamId`.
  std::string name;
  /// What it is.
  InstanceKind kind = InstanceKind::kEntry;
  /// The model (engines) or service (plain services) it serves.
  std::string serves;
  /// Where it listens.
  Endpoint endpoint;
  /// Where it stands.
  Locality locality;
  /// Whether it takes new work, as the list last knew.
  ListedState state = ListedState::kLive;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_UPSTREAM_H_
