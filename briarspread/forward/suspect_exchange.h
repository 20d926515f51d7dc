#ifndef BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "briarspread/contracts/suspect_table.h"
#include "briarspread/forward/notice_exchange.h"
#include "briarspread/forward/trial_source.h"

namespace briarspread::forward {

/// Publishes the evidence about requests that crash upstreams to all instances,
/// and grants their trials: each request's trials are granted by one instance,
/// the same one at all instances that know the same instances. Sends nothing
/// while no upstream crashes. Must be used on the event loop's thread only.
class SuspectExchange final : public TrialSource, public NoticeTopic {
 public:
  static constexpr char kTrialPath[] = "/v1/suspect-trials";
  /// Returns the endpoint of the instance that grants the trials of a request;
  /// nothing if it is this instance.
  using FindGranter = std::function<std::optional<Endpoint>(Fingerprint)>;

  /// Precondition: references outlive this object.
  SuspectExchange(asio::io_context& loop, SuspectTable& table,
                  PeerClient& peers, RandomSource& random,
                  NoticeExchange::PeerListFunction list_peers,
                  FindGranter find_granter,
                  const NoticeExchangeSettings& settings);

  /// As the functions of `NoticeExchange`.
  void OnInstancesChanged() { exchange_.OnInstancesChanged(); }
  void QueryAgain() { exchange_.QueryAgain(); }
  bool is_initial_query_done() const {
    return exchange_.is_initial_query_done();
  }

  /// Handles a peer's request and returns true if its path is one of this
  /// object's; otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

  void RequestTrial(Fingerprint request, Done done) override;
  std::string EncodeAll() const override;
  std::string TakeUnpublished() override;
  bool Merge(const std::string& body) override;

 private:
  void AnswerTrial(const std::string& body, proxy::Responder& responder);

  SuspectTable& table_;
  PeerClient& peers_;
  const FindGranter find_granter_;
  NoticeExchange exchange_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_SUSPECT_EXCHANGE_H_
