#ifndef BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_
#define BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarspread/forward/permit_source.h"
#include "briarspread/forward/upstream_limits.h"

namespace briarspread::forward {

/// What a request to an upstream is for.
enum class RequestPurpose {
  /// A caller's request, or a reward call.
  kLive,
  /// An item of a batch job.
  kItem,
  /// A report or an order that concerns the engine itself.
  kControl,
};

/// Returns the name of a purpose for logs and metrics. Thread-safe.
std::string_view ToString(RequestPurpose purpose);

/// Settings of `RequestLimiter`.
struct RequestLimiterSettings {
  UpstreamLimitsSettings limits;
  /// Time for which a permit may be used once it is granted.
  milliseconds permit_validity{1200};
  /// Maximum time until a permit may be used, of a caller's request and of any
  /// other request.
  milliseconds max_live_wait{400};
  milliseconds max_other_wait{1000};
  /// Maximum number of callers' requests that wait for a permit.
  std::size_t max_waiters = 16;
};

/// Counts of a limiter.
struct RequestLimiterMetrics {
  /// Requests sent to limited upstreams, by purpose.
  std::map<std::string, std::uint64_t> sends;
  /// Permits by what became of them: granted, denied, or granted and not used
  /// in time.
  std::map<std::string, std::uint64_t> permits;
};

/// Keeps the limits that upstreams name for all instances together. Every
/// request to a limited upstream needs a permit, whichever part of this
/// instance sends it; a permit is requested from the keeper of the upstream's
/// limit. Must be used on the event loop's thread only.
class RequestLimiter final {
 public:
  /// Called with a limit that a response to this instance named or ended.
  using OnNotice = std::function<void(const LimitNotice&)>;

  /// A request that waits for a permit for one of several upstreams.
  struct Waiter {
    std::vector<UpstreamId> upstreams;
    /// Called when a permit was granted or denied, or a limit has ended. A
    /// waiter that is still alive afterwards waits on.
    std::function<void()> wake;
  };

  /// Precondition: `clock` outlives this object.
  RequestLimiter(const RequestLimiterSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock), limits_(settings.limits, clock) {}

  const RequestLimiterSettings& settings() const { return settings_; }
  /// Sets where permits are requested; before that, all are denied.
  /// Precondition: `source` outlives the use of this object.
  void SetPermitSource(PermitSource& source) { source_ = &source; }
  void SetOnNotice(OnNotice on_notice) { on_notice_ = std::move(on_notice); }
  /// Sets a function that is called when items may be able to run at more
  /// upstreams.
  void SetOnItemPermit(std::function<void()> on_permit) {
    on_item_permit_ = std::move(on_permit);
  }

  /// Records a response of `start` to a request sent at `sent`. `named` is the
  /// text of the limit that it names; null if it names none.
  void RecordResponse(const UpstreamStart& start, const std::string* named,
                      TimePoint sent);
  /// Records what another instance found.
  void RecordPeerNotice(const LimitNotice& notice);
  /// Records that a request is sent to an upstream now.
  void RecordSend(const UpstreamId& id, RequestPurpose purpose);

  bool has_limits() const { return !limits_.empty(); }
  const UpstreamLimits& limits() const { return limits_; }

  /// Returns whether a request may be sent now: the upstream has no limit, or
  /// there is a permit.
  bool HasPermit(const UpstreamId& id, RequestPurpose purpose) const;
  /// Uses the permit for a request that is sent now. Returns false, and
  /// requests a permit, if there is none and the upstream has a limit.
  bool TakePermit(const UpstreamId& id, RequestPurpose purpose);
  /// Requests a permit, unless the upstream has no limit, a permit is there or
  /// requested already, or one was denied just now.
  void RequestPermit(const UpstreamId& id, RequestPurpose purpose);
  /// Returns whether a permit is requested and was not denied yet.
  bool IsPermitPending(const UpstreamId& id, RequestPurpose purpose) const;
  /// Returns the time until a permit that was denied may be requested again.
  Duration TimeUntilRequest(const UpstreamId& id, RequestPurpose purpose) const;

  /// Returns the mean time between two requests that the limits of these
  /// upstreams allow together.
  Duration MeanInterval(const std::vector<UpstreamId>& ids) const;

  /// Adds a caller's request that waits for a permit, until the returned object
  /// is destroyed. Returns null if too many wait already.
  std::shared_ptr<Waiter> Wait(std::vector<UpstreamId> upstreams,
                               std::function<void()> wake);

  /// Drops limits that were not confirmed for long. Must be called
  /// periodically.
  void DropOld() { limits_.DropOld(); }
  const RequestLimiterMetrics& metrics() const { return metrics_; }

 private:
  using PermitKey = std::pair<UpstreamId, RequestPurpose>;

  struct Permit {
    bool is_requested = false;
    /// The end of the time in which the permit may be used; in the past if
    /// there is none.
    TimePoint usable_until{};
    bool is_unused = false;
    /// No permit is requested before this time.
    TimePoint next_request{};
  };

  void OnOutcome(const PermitKey& key, const PermitOutcome& outcome);
  void OnLimitChange(const LimitNotice& notice, UpstreamLimits::Change change);
  /// Wakes the requests that wait for a permit for `id`, in the order in which
  /// they came, until the permit is used or all were woken.
  void WakeWaiters(const UpstreamId& id);

  const RequestLimiterSettings settings_;
  const Clock& clock_;
  UpstreamLimits limits_;
  PermitSource* source_ = nullptr;
  OnNotice on_notice_;
  std::function<void()> on_item_permit_;
  std::map<PermitKey, Permit> permits_;
  std::list<std::weak_ptr<Waiter>> waiters_;
  RequestLimiterMetrics metrics_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_REQUEST_LIMITER_H_
