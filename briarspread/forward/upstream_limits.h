#ifndef BRIARSPREAD_FORWARD_UPSTREAM_LIMITS_H_
#define BRIARSPREAD_FORWARD_UPSTREAM_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/forward/departures.h"

namespace briarspread::forward {

/// Requests per second that an upstream accepts from all instances together.
using RequestRate = StrongValue<struct RequestRateTag, double>;

/// Parses a rate in decimal notation, such as "4.5"; returns nothing if the
/// text is not a number, is negative or is not finite. Thread-safe.
std::optional<RequestRate> ParseRequestRate(const std::string& text);

/// The limit of one start of an upstream, or that it has none any more.
struct LimitNotice {
  UpstreamStart start;
  std::optional<RequestRate> rate;
};

/// Bounds on the limits that are remembered.
struct UpstreamLimitsSettings {
  /// How long a limit is remembered after it was last confirmed.
  std::chrono::minutes retention{10};
  /// Maximum number of limits; beyond it, the one confirmed longest ago is
  /// dropped.
  std::size_t max_count = 4096;
};

/// The limits that upstreams name in their responses. A limit holds for one
/// start of an upstream, until a response of that start names none. It is
/// remembered by id rather than with the registration, since the registration
/// of an upstream that is alive may expire and return. Not thread-safe.
class UpstreamLimits final {
 public:
  /// What a response or a notice of another instance changed.
  enum class Change {
    kNone,
    /// A start named a limit for the first time.
    kNamed,
    /// The start's limit has another value than before.
    kChanged,
    kEnded,
  };

  /// Precondition: `clock` outlives this object.
  UpstreamLimits(const UpstreamLimitsSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  /// Records the limit that a response names, if any, where the request was
  /// sent at `sent`. A response without a limit ends the known one only if its
  /// request was sent after that one was last confirmed: responses on different
  /// connections may arrive in another order than they were made.
  Change RecordResponse(const UpstreamStart& start,
                        std::optional<RequestRate> named, TimePoint sent);
  /// Records what another instance found: the limit of a start, or that it has
  /// ended.
  Change RecordPeerNotice(const UpstreamStart& start,
                          std::optional<RequestRate> named);
  /// Returns the limit in force; nothing if there is none.
  std::optional<RequestRate> Find(const UpstreamId& id) const;
  /// As `Find`, with the start that the limit holds for.
  std::optional<LimitNotice> FindNotice(const UpstreamId& id) const;
  bool empty() const { return limits_.empty(); }
  /// Returns all limits in force.
  std::vector<LimitNotice> All() const;
  /// Drops limits older than the configured time. Must be called periodically.
  void DropOld();

 private:
  struct Limit {
    std::uint64_t start_id = 0;
    RequestRate rate;
    /// When a response or another instance last named it.
    TimePoint confirmed{};
  };

  Change Name(const UpstreamStart& start, RequestRate rate);
  Change End(const UpstreamStart& start);

  const UpstreamLimitsSettings settings_;
  const Clock& clock_;
  std::map<UpstreamId, Limit> limits_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_UPSTREAM_LIMITS_H_
