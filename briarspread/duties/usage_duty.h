#ifndef BRIARSPREAD_DUTIES_USAGE_DUTY_H_
#define BRIARSPREAD_DUTIES_USAGE_DUTY_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "briarspread/duties/usage_publisher.h"
#include "briarspread/duties/usage_reporter.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/peer_client.h"
#include "briarspread/observe/prometheus_writer.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::duties {

/// Settings of the duty to report usage.
struct UsageDutySettings {
  UsageCounterSettings counter;
  UsagePublisherSettings publisher;
  UsageReporterSettings reporter;
  /// Time between two steps of the publisher, and of the reporter.
  milliseconds publish_interval{900};
  milliseconds report_interval{200};
  /// Timeout of a message to a peer.
  milliseconds peer_timeout{1000};
};

/// Counts, exchanges and reports the usage of client accounts: creates the
/// classes of the duty and connects them to the loop and to peers. Loop's
/// thread only.
class UsageDuty final {
 public:
  /// Path of the peer interface.
  static constexpr char kPath[] = "/v1/usage";

  /// `is_enabled` returns whether the configuration has accounts; nothing is
  /// sent and reported while it has none. Precondition: references outlive this
  /// object and its calls in flight.
  UsageDuty(asio::io_context& loop, AsyncStore& store,
            const InstanceRegistry& registry, OrderLease& order_lease,
            PeerClient& peers, ControlApi& api,
            std::function<bool()> is_enabled, const Clock& clock,
            const UsageDutySettings& settings);

  void Start();
  /// Sends the last counts before a planned stop.
  void Stop() { PublishIfEnabled(); }
  accounts::UsageRecorder& recorder() { return counter_; }
  /// Handles a peer's request and returns true if its path is `kPath`;
  /// otherwise does nothing and returns false.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);
  void WriteMetrics(PrometheusWriter& out) const;

 private:
  void PublishIfEnabled();
  void SendTo(const InstanceRecord& peer, std::string message,
              UsagePublisher::OnAnswer done);

  PeerClient& peers_;
  const std::function<bool()> is_enabled_;
  const UsageDutySettings settings_;
  TrueTime true_time_;
  UsageCounter counter_;
  UsagePublisher publisher_;
  UsageReporter reporter_;
  LoopTimer publish_timer_;
  LoopTimer report_timer_;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_DUTY_H_
