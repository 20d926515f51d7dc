#ifndef BRIARSPREAD_FORWARD_LIVE_REQUEST_H_
#define BRIARSPREAD_FORWARD_LIVE_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/forward/attempt_policy.h"
#include "briarspread/forward/forward_context.h"
#include "briarspread/forward/request_suspicion.h"
#include "briarspread/forward/stream_relay.h"
#include "briarspread/forward/upstream_chooser.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Receives the response to a forwarded request.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Called with a complete response, received from an upstream or made by this
  /// instance.
  virtual void OnResponse(proxy::Response response) = 0;
  /// Called instead of `OnResponse` for a stream or for a response too long to
  /// be buffered: with the head, with each part of the body, and then either at
  /// the end or, if the response was cut short, with `OnResponseAborted`.
  virtual void OnResponseHead(const proxy::ResponseHead& head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnResponseAborted() = 0;
  /// Returns the number of bytes that the receiver has not accepted yet.
  virtual std::size_t unsent() const { return 0; }
};

/// Defines when a response that is being passed on counts as stalled.
struct StallDetectionSettings {
  /// Interval between two checks for progress.
  milliseconds check_interval{500};
  /// A response is stalled if it makes no progress for `min_stall_timeout` and
  /// for `latency_goal_factor` times its route's latency goal. A stream makes
  /// progress by each whole event, any other response by each `progress_bytes`
  /// bytes.
  milliseconds min_stall_timeout{4000};
  int latency_goal_factor = 8;
  std::size_t progress_bytes = std::size_t{4} * 1024;
};

/// A request to be forwarded, with its route and times.
struct LiveRequestSpec {
  proxy::Request request;
  /// A copy of the route, so that a later configuration does not change it
  /// during the request.
  Route route;
  /// When the request had been received completely.
  TimePoint arrived{};
  /// When the caller stops waiting or the route's timeout ends, whichever is
  /// earlier.
  TimePoint deadline{};
  StallDetectionSettings stall_detection;
  /// The client account that the request counts for; nothing if there is none.
  std::optional<accounts::AccountId> account;
  /// Whether the request may be one that crashes upstreams, and is refused once
  /// it is suspected of that.
  bool may_be_suspected = true;
};

/// A request that is being forwarded: sent to an upstream, and to further
/// upstreams where retries are allowed, until it has a complete response, is
/// refused or times out. Keeps itself alive in the meantime. Must be used on
/// the event loop's thread only.
class LiveRequest final : public proxy::ExchangeListener,
                          public std::enable_shared_from_this<LiveRequest> {
 public:
  /// Precondition: `context` and `sink` outlive the request, unless it is
  /// cancelled first.
  LiveRequest(ForwardContext& context, LiveRequestSpec spec,
              ResponseSink& sink);

  void Start();
  /// Stops the exchange with the upstream without responding. Called when the
  /// caller has disconnected; has no effect after the request has ended.
  void Cancel();
  /// Returns the number of upstream responses with status 500.
  std::uint32_t upstream_errors() const { return upstream_errors_; }
  /// Resumes reading from the upstream, once the receiver has accepted the
  /// bytes that were sent.
  void OnDrained();

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  /// Finds the version that began the stream that the caller resumes, then
  /// starts the first attempt.
  void FindOrigin();
  /// Starts an attempt, unless the request is suspected of crashing upstreams.
  void StartAttempt();
  /// Asks for a trial of a request that is refused otherwise.
  void RequestTrial();
  /// Chooses an upstream and sends the request to it.
  void PlaceAttempt();
  /// Whether the caller has events already, so that the response must go on
  /// after them.
  bool HasEvents() const {
    return relay_.has_value() && relay_->last_event_id().has_value();
  }
  /// Refuses a request for which no upstream was chosen.
  void RefuseUnplaced(const ServiceName& service);
  /// Returns the service to send to: for a stream that goes on, the one that
  /// began it.
  ServiceName ChooseService();
  void SendTo(const UpstreamId& chosen);
  void LogResumption(const DiscoveredUpstream& upstream) const;
  /// Waits for a permit for an upstream of `service`. Returns false if none is
  /// to be had soon enough.
  bool WaitForPermit(const ServiceName& service);
  std::optional<proxy::RequestBytes> SerializeRequestHead(
      const UpstreamId& upstream, milliseconds left) const;
  std::string_view AttemptId() const;
  void RecordResponse(int status);
  /// Whether the start of the request is still to be recorded for its account.
  bool CountsUsage() const;
  /// Records once, for the usage of the account, that the current attempt's
  /// upstream began to run the request.
  void RecordUsage();
  void EndAttempt();
  /// Ends an attempt whose upstream may still be running the request.
  void CancelAttempt();
  void HandleFailure(Verdict verdict, std::string_view reason);
  void StartStreaming();
  /// Records which software version sent the first event of the stream.
  void RecordStreamBegin();
  /// Passes part of the body on, and pauses reading from the upstream while too
  /// many bytes are unsent.
  void ForwardBody(std::string_view data);
  /// Passes part of the body on and records its progress.
  void PassOn(std::string_view data);
  /// Returns a limit on buffered bytes: the usual one, or a lower one while
  /// little memory is free.
  std::size_t LimitBytes(std::size_t usual) const;
  void AbortResponse();
  void OnStreamEnd();
  /// Ends an attempt whose response exceeds the buffer but must not be passed
  /// on to the caller, such as an endless refusal.
  void AbortUnusableResponse();
  /// Returns whether the response being received may be passed on to the
  /// caller.
  bool CanForwardResponse() const;
  /// Records progress of the response that is being passed on.
  void UpdateProgress(std::string_view data);
  /// Retries or ends a response that is stalled.
  void CheckProgress();
  Duration StallTimeout() const;
  void OnDeadline();
  void Refuse(std::string_view reason);
  /// Returns the time after which a refused caller should retry.
  Duration RetryAfterTime();
  /// Records how long the upstream took for a complete response.
  void UpdateServiceTime();
  void Respond(proxy::Response response);
  void Finish();
  milliseconds TimeLeft() const;
  bool IsUnsigned(const proxy::ResponseHead& head) const;
  /// Returns what the response being received means for the request. A status
  /// that callers would take for "not run", without that statement, makes it
  /// `kMayHaveRun`; a request that may be repeated gets it as it is, unless
  /// another upstream was expected.
  Verdict ResponseVerdict() const;
  /// Logs the status of a response that is not passed on, since callers would
  /// take it for a statement that its upstream did not make.
  void LogUnmarkedRefusal() const;
  /// Whether a response may go on with the stream that was begun: it has the
  /// same status, and the same media type if the first response named one.
  bool ContinuesStream(const proxy::ResponseHead& head) const;

  ForwardContext& context_;
  /// Its `request` is empty.
  LiveRequestSpec spec_;
  /// Shared with the exchanges that send its body.
  const std::shared_ptr<const proxy::Request> request_;
  ResponseSink& sink_;
  AttemptPolicy policy_;
  UpstreamChooser chooser_;
  LoopTimer timer_;
  /// Set while an attempt runs whose usage is not recorded yet.
  LoopTimer usage_timer_;
  /// Keeps the request alive; null once it has ended.
  std::shared_ptr<LiveRequest> self_;
  std::unique_ptr<proxy::Exchange> exchange_;
  RequestSuspicion suspicion_;
  /// The upstream of the current or last attempt, and its start.
  std::optional<UpstreamId> upstream_;
  UpstreamStart attempt_upstream_;
  std::shared_ptr<UpstreamCounters> counters_;
  TimePoint attempt_started_{};
  /// Software version of the upstream of the current or last attempt.
  SoftwareVersion attempt_software_;
  /// Set while the request waits for a permit to be sent.
  std::shared_ptr<RequestLimiter::Waiter> permit_waiter_;
  /// When the request stops waiting for a permit; unset before it waits.
  std::optional<TimePoint> permit_deadline_;
  bool is_usage_recorded_ = false;
  proxy::Response response_;
  MemoryReservation response_memory_;
  /// An upstream's error response, passed on if no retry succeeds.
  std::optional<proxy::Response> error_response_;
  std::uint32_t upstream_errors_ = 0;
  /// Whether the request was refused since its upstreams' limits left no room.
  bool is_limited_ = false;
  /// Whether the response's head was passed on.
  bool is_streaming_ = false;
  /// The head that was passed on.
  proxy::ResponseHead begun_head_;
  /// Whether the current attempt's body is passed on instead of buffered.
  bool is_forwarding_body_ = false;
  /// Set for a stream that may be resumed at another upstream.
  std::optional<StreamRelay> relay_;
  /// Detects whole events in a stream that may not be resumed.
  proxy::EventStreamReader events_;
  /// When the response last made progress, and the bytes received since.
  TimePoint last_progress_{};
  std::size_t bytes_since_progress_ = 0;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_LIVE_REQUEST_H_
