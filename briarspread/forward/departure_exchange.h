#ifndef BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_

#include <string>
#include <vector>

#include "briarspread/forward/notice_exchange.h"
#include "briarspread/forward/upstream_directory.h"

namespace briarspread::forward {

/// Publishes to all instances which upstreams have announced that they are
/// leaving, and queries peers for known departures after a start. Must be used
/// on the event loop's thread only.
class DepartureExchange final : public NoticeTopic {
 public:
  /// Precondition: references outlive this object.
  DepartureExchange(asio::io_context& loop, UpstreamDirectory& directory,
                    PeerClient& peers, RandomSource& random,
                    NoticeExchange::PeerListFunction list_peers,
                    const NoticeExchangeSettings& settings);

  void OnInstancesChanged() { exchange_.OnInstancesChanged(); }
  bool is_initial_query_done() const {
    return exchange_.is_initial_query_done();
  }
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder) {
    return exchange_.TryAnswer(request, responder);
  }

  std::string EncodeAll() const override;
  std::string TakeUnpublished() override;
  bool Merge(const std::string& body) override;

 private:
  UpstreamDirectory& directory_;
  /// Departures announced to this instance that neither it nor another instance
  /// has published yet.
  std::vector<UpstreamStart> unpublished_;
  NoticeExchange exchange_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DEPARTURE_EXCHANGE_H_
