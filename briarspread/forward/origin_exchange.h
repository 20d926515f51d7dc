#ifndef BRIARSPREAD_FORWARD_ORIGIN_EXCHANGE_H_
#define BRIARSPREAD_FORWARD_ORIGIN_EXCHANGE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/forward/stream_origins.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::forward {

/// Settings of `OriginExchange`.
struct OriginExchangeSettings {
  LocalStreamOriginsSettings local;
  /// Origins for the same instance are sent together after this delay.
  milliseconds delay{5};
  /// Timeout of a query to another instance.
  milliseconds query_timeout{300};
};

/// A stream that began: its attempt and the version that began it.
struct StreamOrigin {
  AttemptId attempt;
  SoftwareVersion software;
};

/// Keeps the origin of each stream also at a few other instances, chosen by the
/// attempt's id, so that it is known when the instance that passed the stream
/// on has died. Must be used on the event loop's thread only.
class OriginExchange final : public StreamOrigins {
 public:
  static constexpr char kPath[] = "/v1/origins";
  /// Returns the endpoints of the other instances that keep an attempt's
  /// origin: the same ones at all instances that know the same instances.
  using HoldersFunction =
      std::function<std::vector<Endpoint>(const AttemptId&)>;

  /// Precondition: references outlive this object.
  OriginExchange(asio::io_context& loop, PeerClient& peers, const Clock& clock,
                 HoldersFunction list_holders,
                 const OriginExchangeSettings& settings);

  void Record(const AttemptId& attempt,
              const SoftwareVersion& software) override;
  void Find(const AttemptId& attempt, Done done) override;
  /// Handles a peer's request and returns true if its path is `kPath`;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  void Publish();
  void AnswerQuery(std::string_view query, proxy::Responder& responder) const;

  PeerClient& peers_;
  const HoldersFunction list_holders_;
  const OriginExchangeSettings settings_;
  LocalStreamOrigins known_;
  LoopTimer publish_timer_;
  /// Origins that are not sent yet, by the instance that is to keep them.
  std::map<Endpoint, std::vector<StreamOrigin>> unpublished_;
};

/// Encodes origins as JSON, to be sent to another instance. Thread-safe.
std::string EncodeStreamOrigins(const std::vector<StreamOrigin>& origins);
/// Parses the JSON written by `EncodeStreamOrigins`; returns nothing if the
/// text is malformed. Thread-safe.
std::optional<std::vector<StreamOrigin>> ParseStreamOrigins(
    const std::string& text);

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_ORIGIN_EXCHANGE_H_
