#ifndef BRIARSPREAD_FORWARD_DIRECT_PATHS_H_
#define BRIARSPREAD_FORWARD_DIRECT_PATHS_H_

#include <map>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/upstream.h"

namespace briarspread::forward {

/// An endpoint to which a trial connection may be made, and its service.
struct TrialCandidate {
  Endpoint endpoint;
  ServiceName service;
};

/// Settings of `DirectPaths`.
struct DirectPathsSettings {
  /// Number of endpoints that cannot be connected to, with none that can,
  /// before this instance's own links are suspected.
  std::size_t failures_to_suspect = 2;
  /// Number of trial connections that must fail one after another before the
  /// links count as lost.
  std::size_t trials_to_lose = 2;
  /// The links are not suspected within this time after a connection was
  /// established. A failure is checked by a trial connection if no upstream has
  /// responded directly for this time.
  milliseconds silence_to_try{500};
};

/// Decides whether this instance can reach upstreams directly: whether it is
/// its own links that fail, or the upstreams. Establishing connections is what
/// counts, since open connections may outlive a partition. Not thread-safe.
class DirectPaths final {
 public:
  /// Precondition: `clock` outlives this object.
  DirectPaths(const DirectPathsSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  void RecordConnected(const Endpoint& to);
  void RecordNotConnected(const Endpoint& to);
  /// Records that a response was received over a direct connection.
  void RecordResponse() { last_response_ = clock_.Now(); }
  /// Records that another instance reached `to`.
  void RecordReachedByPeer(const Endpoint& to);
  /// Records that a trial connection failed, after `RecordNotConnected`.
  void RecordFailedTrial();
  /// Drops what is known of endpoints that are not among `candidates`.
  void Retain(const std::vector<TrialCandidate>& candidates);

  /// Whether this instance's own links are suspected to fail.
  bool IsSuspected() const;
  /// Whether this instance's own links are known to fail.
  bool IsLost() const;
  /// Whether a request to `to` should go through another instance.
  bool ShouldRelay(const Endpoint& to) const;
  /// Whether connections that were open before the links failed still work.
  bool DoOpenConnectionsWork() const;
  /// Returns the endpoint to which a trial connection should be made now;
  /// nothing if there is nothing to find out.
  std::optional<Endpoint> NextTrial(
      const std::vector<TrialCandidate>& candidates);
  /// Number of endpoints whose latest connection could not be established.
  std::size_t failed_count() const { return failed_.size(); }

 private:
  struct Failure {
    /// When a connection last could not be established.
    TimePoint since{};
    /// Whether another instance reached the endpoint after the first failure.
    bool is_reached_by_peer = false;
    TimePoint last_trial{};
  };

  TimePoint LatestFailure() const;
  /// Returns the endpoint that was tried longest ago of those that failed and
  /// that a peer reaches, or of all that failed while the links are suspected.
  std::optional<Endpoint> OldestFailedTrial(
      const std::vector<TrialCandidate>& candidates) const;
  /// Returns an endpoint that has not failed, of a service without failures if
  /// there is one.
  std::optional<Endpoint> FindUntried(
      const std::vector<TrialCandidate>& candidates) const;

  const DirectPathsSettings settings_;
  const Clock& clock_;
  /// Endpoints whose latest connection could not be established.
  std::map<Endpoint, Failure> failed_;
  TimePoint last_connected_{};
  TimePoint last_response_{};
  /// When the links became suspected; unset while they are not.
  std::optional<TimePoint> suspected_since_;
  std::size_t failed_trials_ = 0;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DIRECT_PATHS_H_
