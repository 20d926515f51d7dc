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

/// Another entry instance, as the platform's list names it.
struct PeerAddress {
  Endpoint endpoint;
  ZoneId zone;
  /// When the platform's list last showed it.
  TimePoint last_listed{};
};

/// Where the other entry instances listen, by the last list that was read. An
/// instance that leaves the list is kept, since its address still tells whether
/// its process runs. Thread-safe.
class PeerDirectory {
 public:
  /// `self` is left out. An empty `key` leaves calls unsigned.
  PeerDirectory(InstanceId self, std::string key, const Clock& clock);

  /// Takes the platform's list. Call from one thread.
  void OnList(const std::vector<ListedInstance>& listed);
  /// The instance's address, or nothing where it was never listed.
  std::optional<PeerAddress> Find(const InstanceId& instance) const;
  /// All others that were ever listed.
  std::map<InstanceId, PeerAddress> All() const;

  /// Signs a call to another instance: its path and body.
  void Sign(UpstreamRequest& request) const;
  /// Whether a call that arrived is signed by an instance.
  bool IsSigned(const std::string& path, const std::string& body,
                const std::string& signature) const;

 private:
  using Peers = std::map<InstanceId, PeerAddress>;

  const InstanceId self_;
  /// The instances' shared key. Never logged.
  const std::string key_;
  const Clock& clock_;
  RcuCell<Peers> peers_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_PEER_DIRECTORY_H_
