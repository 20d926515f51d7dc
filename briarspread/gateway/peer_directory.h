#ifndef BRIARSPREAD_GATEWAY_PEER_DIRECTORY_H_
#define BRIARSPREAD_GATEWAY_PEER_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/rcu_cell.h"
#include "briarspread/core/upstream.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// The address of another entry instance, from the platform's list.
struct PeerAddress {
  Endpoint endpoint;
  ZoneId zone;
  /// Time at which the platform's list last contained the instance.
  TimePoint last_listed{};
};

/// The addresses of the other entry instances, from the platform's lists. An
/// instance that is no longer listed is kept, since a probe of its address
/// still shows whether its process runs. Also signs calls between instances.
/// Thread-safe.
class PeerDirectory {
 public:
  /// The directory omits `self`. If `key` is empty, calls are not signed.
  PeerDirectory(InstanceId self, std::string key, const Clock& clock);

  /// Adds the entry instances of the platform's list. Call from one thread
  /// only.
  void OnList(const std::vector<ListedInstance>& listed);
  /// Returns the instance's address, or `std::nullopt` if it was never listed.
  std::optional<PeerAddress> Find(const InstanceId& instance) const;
  /// Returns the addresses of all other instances that were ever listed.
  std::map<InstanceId, PeerAddress> All() const;

  /// Adds a signature of the path and body to a call to another instance. Does
  /// nothing if the key is empty.
  void Sign(UpstreamRequest& request) const;
  /// Whether `signature` is valid for a received call. Always true if the key
  /// is empty.
  bool IsSigned(const std::string& path, const std::string& body,
                const std::string& signature) const;

 private:
  using Peers = std::map<InstanceId, PeerAddress>;

  const InstanceId self_;
  /// The key shared by all instances. Must not be logged.
  const std::string key_;
  const Clock& clock_;
  RcuCell<Peers> peers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_PEER_DIRECTORY_H_
