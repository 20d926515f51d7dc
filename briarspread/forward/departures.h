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

/// One start of an upstream.
struct UpstreamStart {
  UpstreamId id;
  /// Names the start; later ones have higher numbers.
  std::uint64_t start_id = 0;

  friend bool operator==(const UpstreamStart&, const UpstreamStart&) = default;
};

/// Settings of the departures.
struct DeparturesSettings {
  /// How long a departure is remembered. A list of upstreams that is older
  /// than this is not in use any more.
  std::chrono::minutes memory{10};
  /// Departures remembered; beyond, the oldest are forgotten.
  std::size_t max_count = 4096;
};

/// Which starts of upstreams have said that they leave. What a start has said
/// holds for it and all starts before it, whatever a list of upstreams says
/// later; only a later start of the same id is in use again. Holds no thread;
/// not thread-safe.
class Departures final {
 public:
  /// Precondition: `clock` outlives this object.
  Departures(const DeparturesSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  /// Notes that a start leaves. False where that was known.
  bool Note(const UpstreamStart& start);
  /// Whether this start has left, or leaves.
  bool HasLeft(const UpstreamStart& start) const;
  /// Forgets departures that are too old. To be called now and then.
  void DropOld();

  /// All that are remembered.
  std::vector<UpstreamStart> All() const;

 private:
  /// The latest start that leaves, and when that was noted.
  struct Departure {
    std::uint64_t start_id = 0;
    TimePoint noted{};
  };

  const DeparturesSettings settings_;
  const Clock& clock_;
  std::map<UpstreamId, Departure> departures_;
};

/// Starts of upstreams as JSON, for other instances. Thread-safe.
std::string Encode(const std::vector<UpstreamStart>& starts);

/// Reads starts; nothing for malformed text. Thread-safe.
std::optional<std::vector<UpstreamStart>> ParseUpstreamStarts(
    const std::string& text);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DEPARTURES_H_
