#ifndef BRIARSPREAD_FORWARD_DEPARTURES_H_
#define BRIARSPREAD_FORWARD_DEPARTURES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::forward {

/// One start of an upstream: the lifetime of one of its processes.
struct UpstreamStart {
  UpstreamId id;
  /// Identifies the start; a later start has a higher number.
  std::uint64_t start_id = 0;

  friend bool operator==(const UpstreamStart&, const UpstreamStart&) = default;
};

/// Limits on the departures that are remembered.
struct DeparturesSettings {
  /// How long a departure is remembered. Lists of upstreams that are older than
  /// this are no longer in use.
  std::chrono::minutes retention{10};
  /// Maximum number of departures; beyond it, the oldest are dropped.
  std::size_t max_count = 4096;
};

/// The starts of upstreams that have announced that they are leaving. A
/// departure covers the start that announced it and all earlier starts, even if
/// a list of upstreams received later shows the start as ready; only a later
/// start of the same id receives requests again. Not thread-safe.
class Departures final {
 public:
  /// Precondition: `clock` outlives this object.
  Departures(const DeparturesSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  /// Records that a start is leaving. Returns false if that was already known.
  bool Record(const UpstreamStart& start);
  /// Returns whether this start is leaving or has left.
  bool HasLeft(const UpstreamStart& start) const;
  /// Drops departures older than the configured time. Must be called
  /// periodically.
  void DropOld();

  /// Returns the latest leaving start of each upstream.
  std::vector<UpstreamStart> All() const;

 private:
  /// The latest start that is leaving, and when it was recorded.
  struct Departure {
    std::uint64_t start_id = 0;
    TimePoint recorded_at{};
  };

  const DeparturesSettings settings_;
  const Clock& clock_;
  std::map<UpstreamId, Departure> departures_;
};

/// Encodes starts of upstreams as JSON, to be sent to other instances.
/// Thread-safe.
std::string EncodeUpstreamStarts(const std::vector<UpstreamStart>& starts);

/// Parses the JSON written by `EncodeUpstreamStarts`; returns nothing if the
/// text is malformed. Thread-safe.
std::optional<std::vector<UpstreamStart>> ParseUpstreamStarts(
    const std::string& text);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DEPARTURES_H_
