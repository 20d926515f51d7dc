#ifndef BRIARSPREAD_FORWARD_LIMIT_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_LIMIT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarspread/forward/notice_exchange.h"
#include "briarspread/forward/rate_reservations.h"
#include "briarspread/forward/request_limiter.h"

namespace briarspread::forward {

/// The instance that schedules the requests to a limited upstream.
struct LimitKeeper {
  bool is_self = false;
  /// Where to ask it, unless it is this instance.
  Endpoint endpoint;
};

/// Connects the limiters of all instances: publishes named limits, requests
/// permits from the keeper of each limit, and grants those that this instance
/// keeps. Requests no permit elsewhere if the keeper cannot be reached: two
/// keepers would grant twice the limit. Must be used on the event loop's thread
/// only.
class LimitExchange final : public PermitSource, public NoticeTopic {
 public:
  static constexpr char kPermitPath[] = "/v1/permits";
  /// Returns the keeper of an upstream's limit: the same one at all instances
  /// that know the same instances. Returns nothing while none is known.
  using FindKeeper =
      std::function<std::optional<LimitKeeper>(const UpstreamId&)>;

  /// Precondition: references outlive this object.
  LimitExchange(asio::io_context& loop, RequestLimiter& limiter,
                PeerClient& peers, RandomSource& random, const Clock& clock,
                NoticeExchange::PeerListFunction list_peers,
                FindKeeper find_keeper, const NoticeExchangeSettings& settings);

  void OnInstancesChanged() { exchange_.OnInstancesChanged(); }
  bool is_initial_query_done() const {
    return exchange_.is_initial_query_done();
  }
  /// Handles a peer's request and returns true if its path is one of this
  /// object's; otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);
  /// Drops what is no longer needed. Must be called periodically.
  void DropOld();

  void RequestPermit(const PermitRequest& request, Done done) override;
  std::string EncodeAll() const override;
  std::string TakeUnpublished() override;
  bool Merge(const std::string& body) override;

 private:
  void AskKeeper(const Endpoint& keeper, const PermitRequest& request,
                 const Done& done);
  /// Calls `done` once the reserved moment has come, or at once if none was
  /// reserved.
  void Deliver(const RateReservations::Reservation& reservation, Done done);
  proxy::Response AnswerPermit(const std::string& body);

  asio::io_context& loop_;
  RequestLimiter& limiter_;
  PeerClient& peers_;
  const FindKeeper find_keeper_;
  RateReservations reservations_;
  /// Limits found by this instance that neither it nor another instance has
  /// published yet.
  std::vector<LimitNotice> unpublished_;
  NoticeExchange exchange_;
  /// Timers of permits whose moment has not come yet, by number.
  std::map<std::uint64_t, std::unique_ptr<LoopTimer>> deliveries_;
  std::uint64_t next_delivery_ = 0;
};

/// Encodes notices as JSON, to be sent to other instances. Thread-safe.
std::string EncodeLimitNotices(const std::vector<LimitNotice>& notices);
/// Parses the JSON written by `EncodeLimitNotices`; returns nothing if the text
/// is malformed. Thread-safe.
std::optional<std::vector<LimitNotice>> ParseLimitNotices(
    const std::string& text);
/// As above, for a request for a permit.
std::string EncodePermitRequest(const PermitRequest& request);
std::optional<PermitRequest> ParsePermitRequest(const std::string& text);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_LIMIT_EXCHANGE_H_
