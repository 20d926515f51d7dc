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
#include "briarspread/forward/stream_relay.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Who made a request that is forwarded, and hears of its answer.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// A whole answer, of the upstream or of this system.
  virtual void OnAnswer(proxy::Response answer) = 0;
  /// An answer too long to be held: its head, its body part by part, its end,
  /// or a break in between.
  virtual void OnAnswerHead(const proxy::ResponseHead& head) = 0;
  virtual void OnAnswerBody(std::string_view data) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnAnswerBroken() = 0;
  /// Bytes that the maker has not taken yet.
  virtual std::size_t unsent() const { return 0; }
};

/// When an answer on its way counts as stalled.
struct ProgressSettings {
  /// How often it is looked at.
  milliseconds check{500};
  /// It is stalled where it gets no further for this long at least, and for so
  /// many times its route's latency goal. A stream gets further by whole
  /// events only, any other answer by `bytes`.
  milliseconds least_stall{4000};
  int goals = 8;
  std::size_t bytes = std::size_t{4} * 1024;
};

/// A request as it is to be forwarded.
struct LiveRequestSpec {
  proxy::Request request;
  /// A copy, so that a later configuration does not change it midway.
  Route route;
  /// When the request was read whole.
  TimePoint arrived{};
  /// When its maker stops waiting, or the route's time is up.
  TimePoint deadline{};
  ProgressSettings progress;
};

/// One request on its way: sent to an upstream, and to further ones where that
/// is allowed, until an answer is whole. Keeps itself while it is under way.
/// Loop's thread only.
class LiveRequest final : public proxy::ExchangeListener,
                          public std::enable_shared_from_this<LiveRequest> {
 public:
  /// Precondition: `context` and `sink` outlive the request, or it is cancelled
  /// first.
  LiveRequest(ForwardContext& context, LiveRequestSpec spec, AnswerSink& sink);

  void Start();
  /// The maker has gone: stops the work at the upstream, answers nothing.
  void Cancel();
  /// Answers of 500 that upstreams gave.
  std::uint32_t upstream_errors() const { return upstream_errors_; }
  /// Goes on reading once the maker has taken what was sent.
  void OnDrained();

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  void Attempt();
  std::optional<UpstreamId> ChooseUpstream(const ServiceName& service);
  /// Upstreams tried, but for the one tried longest ago. Precondition: one was.
  std::vector<UpstreamId> TriedLately() const;
  std::string MakeBytes(const UpstreamId& upstream, milliseconds left) const;
  bool MayBeSent() const;
  std::string_view Id() const;
  void NoteAnswer(int status);
  void EndAttempt();
  void TakeFailure(Verdict verdict, std::string_view reason);
  void StartStreaming();
  /// Passes part of the answer on; pauses the upstream where the maker lags.
  void PassOn(std::string_view data);
  void BreakAnswer();
  void OnStreamEnd();
  /// Ends an attempt whose answer is of no use to the caller and does not end.
  void CutUselessAnswer();
  /// Whether the answer under way is the caller's once it is whole.
  bool IsForCaller() const;
  /// Notes that the answer on its way has got further.
  void NoteProgress(std::string_view data);
  /// Ends an answer on its way that gets no further.
  void CheckProgress();
  Duration StallTime() const;
  void OnDeadline();
  void Refuse(std::string_view reason);
  /// When a refused caller is to come back.
  Duration ReturnTime();
  /// Measures how long the upstream took for a whole answer.
  void NoteServiceTime();
  void Answer(proxy::Response response);
  void Finish();
  milliseconds Left() const;
  bool IsUnsigned(const proxy::ResponseHead& head) const;
  bool IsNotRun(const proxy::ResponseHead& head) const;

  ForwardContext& context_;
  LiveRequestSpec spec_;
  AnswerSink& sink_;
  AttemptPolicy policy_;
  LoopTimer timer_;
  /// Null once the request has ended.
  std::shared_ptr<LiveRequest> self_;
  std::unique_ptr<proxy::Exchange> exchange_;
  /// Where the request is now, and has been.
  std::optional<UpstreamId> upstream_;
  std::shared_ptr<UpstreamCounters> counters_;
  std::vector<UpstreamId> tried_;
  TimePoint attempt_started_{};
  proxy::Response answer_;
  /// An upstream's own failure, given to the caller where nothing better comes.
  std::optional<proxy::Response> failure_answer_;
  std::uint32_t upstream_errors_ = 0;
  /// The answer's head was passed on.
  bool is_streaming_ = false;
  /// What comes from the upstream now is passed on.
  bool passes_on_ = false;
  /// Set for a stream that may go on at another upstream.
  std::optional<StreamRelay> relay_;
  /// Finds whole events in a stream that may not.
  proxy::EventStreamReader events_;
  /// When the answer on its way last got further, and bytes of it since.
  TimePoint progressed_{};
  std::size_t bytes_since_ = 0;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_LIVE_REQUEST_H_
