#ifndef BRIARSPREAD_FORWARD_STREAM_ORIGINS_H_
#define BRIARSPREAD_FORWARD_STREAM_ORIGINS_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread::forward {

/// Id that a caller gave to one of its attempts.
using AttemptId = StrongValue<struct AttemptIdTag, std::string>;

/// Remembers which software version began a caller's stream, since the stream
/// may go on only there. Loop's thread only.
class StreamOrigins {
 public:
  /// Receives the version; nothing if nobody that could be asked knows it.
  using Done = std::function<void(const std::optional<SoftwareVersion>&)>;

  virtual ~StreamOrigins() = default;
  /// Records the version that sent the first event of an attempt's stream.
  virtual void Record(const AttemptId& attempt,
                      const SoftwareVersion& software) = 0;
  /// Calls `done` exactly once with the version that began the stream of
  /// `attempt`, possibly from within this call.
  virtual void Find(const AttemptId& attempt, Done done) = 0;
};

/// Bounds on the origins that are remembered.
struct LocalStreamOriginsSettings {
  /// How long an origin is remembered. Longer than a stream and its resumptions
  /// last.
  std::chrono::minutes retention{10};
  /// Maximum number of origins; beyond it, the oldest are dropped.
  std::size_t max_count = 100'000;
};

/// The origins that this instance knows. Not thread-safe.
class LocalStreamOrigins final : public StreamOrigins {
 public:
  /// Precondition: `clock` outlives this object.
  LocalStreamOrigins(const LocalStreamOriginsSettings& settings,
                     const Clock& clock)
      : settings_(settings), clock_(clock) {}

  void Record(const AttemptId& attempt,
              const SoftwareVersion& software) override;
  void Find(const AttemptId& attempt, Done done) override {
    done(Lookup(attempt));
  }
  std::optional<SoftwareVersion> Lookup(const AttemptId& attempt) const;
  std::size_t size() const { return software_.size(); }

 private:
  struct Recorded {
    AttemptId attempt;
    TimePoint at{};
  };

  const LocalStreamOriginsSettings settings_;
  const Clock& clock_;
  std::map<AttemptId, SoftwareVersion> software_;
  /// Oldest first.
  std::deque<Recorded> order_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_STREAM_ORIGINS_H_
