#ifndef BRIARSPREAD_FORWARD_NOTICE_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_NOTICE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// What is exchanged about upstreams: one kind of notice, such as departures.
/// Called on the loop's thread.
class NoticeTopic {
 public:
  virtual ~NoticeTopic() = default;
  /// Returns all that this instance knows, for an instance that has started.
  virtual std::string EncodeAll() const = 0;
  /// Returns what this instance has found and nobody has published yet, and
  /// counts it as published; empty if there is nothing.
  virtual std::string TakeUnpublished() = 0;
  /// Adds what another instance encoded. Returns false, and has no effect, if
  /// the text is malformed.
  virtual bool Merge(const std::string& body) = 0;
};

/// Settings of a notice exchange.
struct NoticeExchangeSettings {
  /// A notice is published after a random delay of up to this time for each
  /// peer, and `max_jitter` at most. Most instances then learn of it from one
  /// that found it earlier, and need not publish it again.
  milliseconds jitter_per_peer{5};
  milliseconds max_jitter{1000};
  /// Number of peers that are queried after a start.
  std::size_t max_queried_peers = 2;
  /// Timeout of each query to a peer. A start waits for twice this time at
  /// most.
  milliseconds query_timeout{250};
};

/// Publishes the notices of a topic to all instances, and queries peers for
/// known ones after a start. Sends nothing while there are no notices, apart
/// from that query. Must be used on the event loop's thread only.
class NoticeExchange final {
 public:
  /// Returns the endpoints of the other instances.
  using PeerListFunction = std::function<std::vector<Endpoint>()>;

  /// `name` is the topic's name in log lines; its path in the peer interface is
  /// `/v1/` and that name. Precondition: references outlive this object.
  NoticeExchange(asio::io_context& loop, NoticeTopic& topic, std::string name,
                 PeerClient& peers, RandomSource& random,
                 PeerListFunction list_peers,
                 const NoticeExchangeSettings& settings);

  /// Must be called when the topic has something to publish.
  void SchedulePublish();
  /// Queries peers for known notices the first time that there are peers. Must
  /// be called when the set of known instances changes.
  void OnInstancesChanged();
  /// Queries peers once more, after a time in which notices may have been
  /// missed. Does nothing while a query is under way.
  void QueryAgain();
  /// Returns whether the initial query is over: the queried peers have
  /// responded or timed out, or no peer was known for twice `query_timeout`.
  bool is_initial_query_done() const { return is_initial_query_done_; }

  /// Handles a peer's request and returns true if its path is the topic's;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void Publish();
  /// Queries up to `max_queried_peers` peers. Does nothing if there are none.
  void QueryPeers();
  void OnResponse(const Result<proxy::Response>& result);
  bool Merge(const std::string& body);

  NoticeTopic& topic_;
  const std::string name_;
  const std::string path_;
  PeerClient& peers_;
  RandomSource& random_;
  const PeerListFunction list_peers_;
  const NoticeExchangeSettings settings_;
  LoopTimer publish_timer_;
  LoopTimer query_timer_;
  std::size_t outstanding_queries_ = 0;
  /// Whether any peer was queried.
  bool has_sent_queries_ = false;
  bool is_initial_query_done_ = false;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_NOTICE_EXCHANGE_H_
