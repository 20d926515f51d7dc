#ifndef BRIARSPREAD_PROXY_SHED_POLICY_H_
#define BRIARSPREAD_PROXY_SHED_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::proxy {

/// What a connection is doing.
enum class ConnectionPhase {
  /// No byte of a request was received.
  kIdle,
  /// A request is being received.
  kReceiving,
  /// As `kReceiving`, but reading is paused until memory is free.
  kPaused,
  /// A request is being handled, and no bytes wait for the caller.
  kHandling,
  /// Bytes of a response wait for the caller to read them.
  kSending,
};

/// A connection as the policy sees it.
struct ConnectionLoad {
  ConnectionPhase phase = ConnectionPhase::kIdle;
  /// Bytes that it holds.
  std::size_t bytes = 0;
  /// Time since its latest progress or, in phase `kPaused`, since the pause
  /// began.
  Duration stalled{0};
};

/// When connections are closed under pressure.
struct ShedSettings {
  /// Minimum time without progress before a connection is closed for another
  /// one's sake. `ServerConnection` counts only progress above a minimum rate.
  milliseconds min_stall{2000};
  /// Time for which reading may be paused before a request is rejected.
  milliseconds max_pause{1000};
  /// Bytes below which closing a connection frees too little to matter.
  std::size_t min_bytes = std::size_t{64} * 1024;
};

/// Chooses the connections to close when memory or connections run out: those
/// with the least progress for their age. Thread-safe.
class ShedPolicy final {
 public:
  explicit ShedPolicy(const ShedSettings& settings) : settings_(settings) {}

  /// Returns the connection to close so that paused ones can continue: the one
  /// stalled longest or, if none is stalled, a paused one, the one with the
  /// fewest bytes. Returns nothing while all may still wait.
  std::optional<std::size_t> ChooseForMemory(
      const std::vector<ConnectionLoad>& all) const;
  /// Returns up to `n` connections to close so that new ones are accepted,
  /// those without progress for longest. Requests in progress are not among
  /// them unless they are stalled.
  std::vector<std::size_t> ChooseForConnections(
      const std::vector<ConnectionLoad>& all, std::size_t n) const;

 private:
  bool IsStalled(const ConnectionLoad& load) const;

  const ShedSettings settings_;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_SHED_POLICY_H_
