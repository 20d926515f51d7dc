#ifndef BRIARSPREAD_TRANSPORT_PENDING_EXCHANGE_H_
#define BRIARSPREAD_TRANSPORT_PENDING_EXCHANGE_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "briarspread/proxy/connection_pool.h"

namespace briarspread {

/// What has arrived of a response since it was last asked for.
struct ResponseProgress {
  std::optional<proxy::ResponseHead> head;
  std::string data;
  /// Whether the response is complete.
  bool has_ended = false;
  std::optional<proxy::ExchangeFailure> failure;
};

/// One exchange that an event loop carries out for a thread that waits for it.
/// Shared by both; the methods say which of them may call.
class PendingExchange final
    : public proxy::ExchangeListener,
      public std::enable_shared_from_this<PendingExchange> {
 public:
  /// Starts the exchange, which keeps this object until its end. Loop's thread.
  /// Precondition: `pool` outlives the exchange.
  void Start(proxy::ConnectionPool& pool, proxy::ExchangeRequest request);
  /// Resumes reading, which pauses while many bytes are not fetched. Loop's
  /// thread.
  void Resume();
  /// Closes the connection if the response has not ended. Loop's thread.
  void Cancel();

  /// Blocks until something has arrived or the exchange has ended, and returns
  /// what is new. Precondition: no earlier call returned the end or a failure.
  /// Waiting thread.
  ResponseProgress Wait();

  void OnHead(const proxy::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailure(const proxy::ExchangeFailure& failure) override;

 private:
  /// Destroys the exchange and drops this object's reference to itself. Loop's
  /// thread.
  void Release();

  std::unique_ptr<proxy::Exchange> exchange_;
  /// Keeps this object while the exchange runs.
  std::shared_ptr<PendingExchange> self_;
  /// Guards `progress_`.
  std::mutex mutex_;
  std::condition_variable has_progress_;
  ResponseProgress progress_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_PENDING_EXCHANGE_H_
