#include "briarspread/forward/notice_exchange.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/fleet/peer_broadcast.h"

namespace briarspread::forward {

NoticeExchange::NoticeExchange(asio::io_context& loop, NoticeTopic& topic,
                               std::string name, PeerClient& peers,
                               RandomSource& random,
                               PeerListFunction list_peers,
                               const NoticeExchangeSettings& settings)
    : topic_(topic),
      name_(std::move(name)),
      path_("/v1/" + name_),
      peers_(peers),
      random_(random),
      list_peers_(std::move(list_peers)),
      settings_(settings),
      publish_timer_(loop),
      query_timer_(loop) {
  // Bounds how long a start waits when no peer is known.
  query_timer_.After(2 * settings_.query_timeout,
                     [this] { is_initial_query_done_ = true; });
}

void NoticeExchange::SchedulePublish() {
  if (publish_timer_.is_set()) return;
  const auto peers = static_cast<std::int64_t>(list_peers_().size());
  const auto jitter = std::min<milliseconds>(settings_.max_jitter,
                                             peers * settings_.jitter_per_peer);
  const auto range = static_cast<std::uint64_t>(jitter.count()) + 1;
  const auto delay =
      milliseconds(static_cast<std::int64_t>(random_.Next() % range));
  publish_timer_.After(delay, [this] { Publish(); });
}

void NoticeExchange::Publish() {
  const std::string body = topic_.TakeUnpublished();
  if (!body.empty()) PostToPeers(peers_, list_peers_(), path_, body);
}

void NoticeExchange::OnInstancesChanged() {
  // Peers are queried also when they become known only after the start has
  // stopped waiting.
  if (!has_sent_queries_) QueryPeers();
}

void NoticeExchange::QueryAgain() {
  if (outstanding_queries_ == 0) QueryPeers();
}

void NoticeExchange::QueryPeers() {
  std::vector<Endpoint> peers = list_peers_();
  if (peers.empty()) return;
  has_sent_queries_ = true;
  // Begins at a random peer, so that instances that start together do not all
  // query the same ones.
  const auto first = static_cast<std::ptrdiff_t>(random_.Next() % peers.size());
  std::rotate(peers.begin(), peers.begin() + first, peers.end());
  peers.resize(std::min(peers.size(), settings_.max_queried_peers));
  outstanding_queries_ = peers.size();
  for (const Endpoint& peer : peers) {
    PeerCall call;
    call.target = path_;
    call.timeout = settings_.query_timeout;
    peers_.Call(
        peer, std::move(call),
        [this](const Result<proxy::Response>& result) { OnResponse(result); });
  }
}

void NoticeExchange::OnResponse(const Result<proxy::Response>& result) {
  if (!IsOk(result)) {
    LOG(INFO) << "event=" << name_ << "_not_learnt reason=\""
              << ErrorOf(result).message << "\"";
  } else {
    Merge(ValueOf(result).body);
  }
  if (--outstanding_queries_ > 0) return;
  query_timer_.Cancel();
  is_initial_query_done_ = true;
}

bool NoticeExchange::Merge(const std::string& body) {
  if (topic_.Merge(body)) return true;
  LOG(WARNING) << "event=" << name_ << "_malformed bytes=" << body.size();
  return false;
}

bool NoticeExchange::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path != path_) return false;
  if (request.head.method == "GET") {
    responder->Send(proxy::MakeResponse(200, topic_.EncodeAll()));
  } else if (Merge(request.body)) {
    responder->Send(proxy::MakeResponse(200, "{}"));
  } else {
    responder->Send(proxy::MakeResponse(400, "{\"error\":\"bad list\"}"));
  }
  return true;
}

}  // namespace briarspread::forward
