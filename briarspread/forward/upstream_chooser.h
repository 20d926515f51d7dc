#ifndef BRIARSPREAD_FORWARD_UPSTREAM_CHOOSER_H_
#define BRIARSPREAD_FORWARD_UPSTREAM_CHOOSER_H_

#include <optional>
#include <vector>

#include "briarspread/forward/forward_context.h"

namespace briarspread::forward {

/// Chooses the upstreams of one live request, one for each attempt: those not
/// tried yet first, none that lacks a permit, and for a stream that goes on
/// only those of its software version. Must be used on the event loop's thread
/// only.
class UpstreamChooser final {
 public:
  /// Precondition: `context` outlives this object.
  UpstreamChooser(ForwardContext& context, bool is_idempotent,
                  TimePoint deadline)
      : context_(context), is_idempotent_(is_idempotent), deadline_(deadline) {}

  /// Sets the software version that all further upstreams must have; empty for
  /// any.
  void RequireSoftware(const SoftwareVersion& software) {
    software_ = software;
  }
  /// Makes further choices take an upstream without running requests, as far
  /// as is known, if there is one.
  void PreferIdle() { prefers_idle_ = true; }
  const SoftwareVersion& required_software() const { return software_; }

  /// Returns the upstream of `service` for the next attempt; nothing if none
  /// can be used before the deadline.
  std::optional<UpstreamId> Choose(const ServiceName& service);
  /// Records that an attempt was sent to `id`.
  void RecordAttempt(const UpstreamId& id) { tried_.push_back(id); }
  std::size_t attempts() const { return tried_.size(); }

  /// Returns the upstreams of `service` that have a limit and for which there
  /// is no permit.
  std::vector<UpstreamId> WithoutPermit(const ServiceName& service) const;
  /// Requests a permit for each of `ids`. Returns whether any is still to be
  /// had.
  bool RequestPermits(const std::vector<UpstreamId>& ids);
  /// Returns when the limits of the upstreams of `service` leave room.
  SlotAvailability EstimateLimitedAvailability(
      const ServiceName& service) const;

 private:
  /// Returns the upstreams that were tried, except the one whose last attempt
  /// is the oldest. Precondition: at least one was tried.
  std::vector<UpstreamId> TriedExceptOldest() const;

  /// Returns the upstreams that run requests.
  std::vector<UpstreamId> Busy() const;
  /// Returns whether a request sent now would start before the deadline.
  bool StartsInTime(const UpstreamView& upstream) const;

  ForwardContext& context_;
  const bool is_idempotent_;
  const TimePoint deadline_;
  SoftwareVersion software_;
  bool prefers_idle_ = false;
  std::vector<UpstreamId> tried_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_UPSTREAM_CHOOSER_H_
