#include "briarspread/forward/relayed_exchange.h"

#include <utility>

#include "briarspread/proxy/http_message.h"

namespace briarspread::forward {
namespace {

/// Time after which no further peer is tried, since the deadline that the
/// request names would be too late then.
constexpr milliseconds kMaxTimeOfTries{250};
/// Time after which the request is not sent directly either: after a pause of
/// the process, the sender may no longer want it.
constexpr milliseconds kMaxTimeToDirect{1000};

/// Whether a peer gives this status to a request that its handlers have seen.
/// Any other one without an outcome comes from before they do.
bool IsFailureInHandler(int status) {
  return status >= 500 && !proxy::PromisesNotRun(status);
}

}  // namespace

std::string FormatRelayFailure(const proxy::ExchangeFailure& failure) {
  return std::string(kRelayFailed) + " " +
         std::string(proxy::ToString(failure.fault)) + " " +
         std::string(ToString(failure.verdict));
}

proxy::ExchangeFailure ParseRelayFailure(std::string_view text) {
  using proxy::ExchangeFault;
  for (const ExchangeFault fault :
       {ExchangeFault::kNotConnected, ExchangeFault::kBroken,
        ExchangeFault::kGarbled, ExchangeFault::kTimedOut,
        ExchangeFault::kInvalidRequest}) {
    for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun}) {
      proxy::ExchangeFailure failure{fault, verdict};
      failure.was_relayed = true;
      if (text == FormatRelayFailure(failure)) return failure;
    }
  }
  proxy::ExchangeFailure unknown;
  unknown.was_relayed = true;
  return unknown;
}

RelayedExchange::RelayedExchange(PeerClient& client, RelayPeers& peers,
                                 const Clock& clock, Spec spec,
                                 proxy::ExchangeListener& listener)
    : client_(client),
      peers_(peers),
      clock_(clock),
      spec_(std::move(spec)),
      listener_(listener) {}

RelayedExchange::~RelayedExchange() {
  if (peer_.has_value()) Cancel();
}

void RelayedExchange::Start() {
  started_ = clock_.Now();
  StartAtNextPeer();
}

PeerCall RelayedExchange::MakeCall() const {
  PeerCall call;
  call.method = spec_.request.is_head_request ? "HEAD" : "POST";
  call.target = std::string(kRelayPath) + "?upstream=" +
                proxy::EncodeParameter(spec_.upstream.id.value()) +
                "&start=" + std::to_string(spec_.upstream.start_id) +
                "&request=" + proxy::EncodeParameter(spec_.request.echo_value);
  call.body = spec_.request.bytes->text();
  if (spec_.request.body != nullptr) call.body += *spec_.request.body;
  call.timeout = spec_.request.timeout;
  return call;
}

void RelayedExchange::StartAtNextPeer() {
  const Duration age = clock_.Now() - started_;
  if (age > kMaxTimeToDirect) {
    proxy::ExchangeFailure late{proxy::ExchangeFault::kNotConnected,
                                Verdict::kNotRun};
    late.was_relayed = true;
    listener_.OnFailure(late);
    return;
  }
  const auto peer =
      age < kMaxTimeOfTries ? peers_.Choose(tried_) : std::nullopt;
  if (!peer.has_value()) {
    exchange_ = spec_.start_direct(std::move(spec_.request), listener_);
    return;
  }
  tried_.push_back(*peer);
  peer_ = peer;
  peers_.RecordStart(*peer);
  exchange_ = client_.Start(*peer, MakeCall(), *this);
}

void RelayedExchange::EndAtPeer() {
  if (!peer_.has_value()) return;
  peers_.RecordEnd(*peer_);
  peer_.reset();
}

void RelayedExchange::LeavePeer() {
  EndAtPeer();
  StartAtNextPeer();
}

void RelayedExchange::Cancel() {
  EndAtPeer();
  if (exchange_ != nullptr) exchange_->Cancel();
}

void RelayedExchange::SetPaused(bool is_paused) {
  if (exchange_ != nullptr) exchange_->SetPaused(is_paused);
}

void RelayedExchange::OnHead(const proxy::ResponseHead& head) {
  const std::string* outcome = head.headers.Find(kRelayOutcomeHeader);
  if (outcome == nullptr && IsFailureInHandler(head.status)) {
    // The peer may have relayed the request before it failed.
    failure_ = proxy::ExchangeFailure{};
    failure_->was_relayed = true;
    return;
  }
  if (outcome == nullptr || *outcome == kRelayRefused) {
    // An instance that does not know the path has not relayed the request.
    peers_.RecordUnusable(*peer_);
    exchange_->Cancel();
    LeavePeer();
    return;
  }
  if (*outcome == kRelayUnknownUpstream) {
    exchange_->Cancel();
    LeavePeer();
    return;
  }
  peers_.RecordUsable(*peer_);
  if (*outcome != kRelayAnswered) {
    failure_ = ParseRelayFailure(*outcome);
    return;
  }
  spec_.on_reached();
  proxy::ResponseHead passed_on = head;
  passed_on.headers.Remove(kRelayOutcomeHeader);
  listener_.OnHead(passed_on);
}

void RelayedExchange::OnBody(std::string_view data) {
  if (!failure_.has_value()) listener_.OnBody(data);
}

void RelayedExchange::OnEnd() {
  EndAtPeer();
  // The listener may destroy this object.
  proxy::ExchangeListener& listener = listener_;
  if (failure_.has_value()) {
    listener.OnFailure(*std::exchange(failure_, std::nullopt));
  } else {
    listener.OnEnd();
  }
}

void RelayedExchange::OnFailure(const proxy::ExchangeFailure& failure) {
  peers_.RecordUnusable(*peer_);
  if (failure.verdict == Verdict::kNotRun) {
    LeavePeer();
    return;
  }
  EndAtPeer();
  proxy::ExchangeFailure passed_on =
      failure_.value_or(proxy::ExchangeFailure{});
  passed_on.was_relayed = true;
  listener_.OnFailure(passed_on);
}

}  // namespace briarspread::forward
