#include "briarspread/forward/upstream_transport.h"

#include <glog/logging.h>

#include <utility>

#include "briarspread/forward/relayed_exchange.h"
#include "briarspread/proxy/unsent_exchange.h"

namespace briarspread::forward {
namespace {

constexpr std::string_view kLinksOk = "ok";

}  // namespace

UpstreamTransport::UpstreamTransport(asio::io_context& loop,
                                     proxy::ConnectionPool& pool,
                                     UpstreamDirectory& directory,
                                     ForwardMetrics& metrics,
                                     const Clock& clock,
                                     const UpstreamTransportSettings& settings)
    : loop_(loop),
      pool_(pool),
      directory_(directory),
      metrics_(metrics),
      clock_(clock),
      settings_(settings),
      paths_(settings.paths, clock),
      trial_timer_(loop),
      logged_state_(kLinksOk) {
  pool_.SetObserver(*this);
}

void UpstreamTransport::SetRelays(PeerClient& client, RelayPeers& peers) {
  relay_client_ = &client;
  relay_peers_ = &peers;
}

bool UpstreamTransport::ShouldRelay(const Endpoint& to) const {
  if (relay_peers_ == nullptr || !paths_.ShouldRelay(to)) return false;
  return !(paths_.DoOpenConnectionsWork() && pool_.HasIdle(to));
}

std::unique_ptr<proxy::Exchange> UpstreamTransport::Start(
    const UpstreamStart& upstream, proxy::ExchangeRequest request,
    proxy::ExchangeListener& listener) {
  const Endpoint to = request.to;
  if (!request.bytes.has_value() || !ShouldRelay(to)) {
    return pool_.Start(std::move(request), listener);
  }
  ++metrics_.relayed_exchanges;
  RelayedExchange::Spec spec;
  spec.upstream = upstream;
  spec.request = std::move(request);
  spec.start_direct = [this](proxy::ExchangeRequest direct,
                             proxy::ExchangeListener& receiver) {
    return StartUnrelayed(std::move(direct), receiver);
  };
  spec.on_reached = [this, to] { paths_.RecordReachedByPeer(to); };
  auto exchange = std::make_unique<RelayedExchange>(
      *relay_client_, *relay_peers_, clock_, std::move(spec), listener);
  exchange->Start();
  return exchange;
}

std::unique_ptr<proxy::Exchange> UpstreamTransport::StartUnrelayed(
    proxy::ExchangeRequest request, proxy::ExchangeListener& listener) {
  if (is_cut_off()) {
    return std::make_unique<proxy::UnsentExchange>(
        loop_.get_executor(), proxy::ExchangeFault::kNotConnected, listener);
  }
  return pool_.Start(std::move(request), listener);
}

void UpstreamTransport::RecordFailure(const UpstreamId& upstream,
                                      const proxy::ExchangeFailure& failure) {
  if (failure.was_reused_connection) return;
  // The upstream has no part in it.
  if (failure.fault == proxy::ExchangeFault::kInvalidRequest) return;
  const KnownUpstream* known = directory_.Find(upstream);
  if (known == nullptr) return;
  if (!failure.was_relayed && paths_.ShouldRelay(known->listed.endpoint)) {
    return;
  }
  directory_.RecordFailure(upstream);
}

void UpstreamTransport::OnConnected(const Endpoint& to) {
  if (trial_ == to) trial_.reset();
  paths_.RecordConnected(to);
  LogState();
}

void UpstreamTransport::OnNotConnected(const Endpoint& to) {
  paths_.RecordNotConnected(to);
  if (trial_ == to) {
    trial_.reset();
    paths_.RecordFailedTrial();
  }
  LogState();
  ScheduleTrial(milliseconds(0));
}

void UpstreamTransport::OnResponseHead(const Endpoint&) {
  paths_.RecordResponse();
}

void UpstreamTransport::LogState() {
  const std::string_view state = paths_.IsLost()        ? "lost"
                                 : paths_.IsSuspected() ? "suspected"
                                                        : kLinksOk;
  if (state == logged_state_) return;
  logged_state_ = state;
  LOG(WARNING) << "event=upstream_links state=" << state
               << " failed=" << paths_.failed_count();
}

std::vector<TrialCandidate> UpstreamTransport::ListCandidates() const {
  std::vector<TrialCandidate> candidates;
  for (const auto& [id, upstream] : directory_.all()) {
    if (upstream.listed.is_leaving) continue;
    candidates.push_back({upstream.listed.endpoint, upstream.listed.service});
  }
  return candidates;
}

void UpstreamTransport::ScheduleTrial(milliseconds delay) {
  if (!trial_timer_.is_set()) trial_timer_.After(delay, [this] { Try(); });
}

void UpstreamTransport::Try() {
  const std::vector<TrialCandidate> candidates = ListCandidates();
  paths_.Retain(candidates);
  LogState();
  if (paths_.failed_count() == 0) return;
  ScheduleTrial(settings_.trial_interval);
  if (trial_.has_value()) return;
  trial_ = paths_.NextTrial(candidates);
  if (trial_.has_value()) pool_.Connect(*trial_);
}

}  // namespace briarspread::forward
