#include "briarspread/proxy/connection_pool.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/proxy/unsent_exchange.h"

namespace briarspread::proxy {

/// An exchange on a pooled connection, which it does not own.
class ConnectionPool::PooledExchange final : public Exchange {
 public:
  explicit PooledExchange(const Connection& connection)
      : connection_(connection) {}
  void Cancel() override {
    const auto locked = connection_.lock();
    if (locked != nullptr) locked->Close(CloseCause::kCancelled);
  }
  void SetPaused(bool is_paused) override {
    if (const auto locked = connection_.lock()) locked->SetPaused(is_paused);
  }

 private:
  /// Other exchanges may use the connection once this exchange has ended, so
  /// owners destroy this object then.
  std::weak_ptr<UpstreamConnection> connection_;
};

ConnectionPool::ConnectionPool(asio::io_context& loop,
                               const UpstreamConnectionSettings& settings)
    : loop_(loop), settings_(settings) {}

ConnectionPool::~ConnectionPool() {
  const auto all = std::exchange(all_, {});
  idle_.clear();
  for (const Connection& connection : all) {
    connection->Close(CloseCause::kClosedByPool);
  }
}

ConnectionPool::Connection ConnectionPool::TakeIdle(
    const ExchangeRequest& request) {
  const auto it = idle_.find(request.to);
  if (it == idle_.end()) return nullptr;
  std::vector<Connection>& kept = it->second;
  std::erase_if(kept, [](const Connection& connection) {
    return !connection->is_usable();
  });
  const auto last = std::find_if(
      kept.rbegin(), kept.rend(), [&request](const Connection& connection) {
        // After a pause of the process, closes may not be processed yet.
        return !connection->HasRecentEcho(request.echo_value) &&
               !connection->IsStale();
      });
  Connection taken;
  if (last != kept.rend()) {
    taken = *last;
    kept.erase(std::next(last).base());
  }
  if (kept.empty()) idle_.erase(it);
  return taken;
}

ConnectionPool::Connection ConnectionPool::Open(const Endpoint& to) {
  auto connection = std::make_shared<UpstreamConnection>(
      loop_.get_executor(), settings_, to, observer_,
      [this](const Connection& idle) { OnReleased(idle); });
  all_.insert(connection);
  ++opened_;
  return connection;
}

void ConnectionPool::Connect(const Endpoint& to) { Open(to)->Open(); }

std::unique_ptr<Exchange> ConnectionPool::Start(ExchangeRequest request,
                                                ExchangeListener& listener) {
  if (!request.bytes.has_value()) {
    LOG(ERROR) << "event=request_invalid to=" << request.to.host << ":"
               << request.to.port << " request=" << request.echo_value;
    return std::make_unique<UnsentExchange>(
        loop_.get_executor(), ExchangeFault::kInvalidRequest, listener);
  }
  Connection connection;
  if (request.may_reuse_connection) connection = TakeIdle(request);
  if (connection == nullptr) connection = Open(request.to);
  connection->Run(std::move(request), listener);
  return std::make_unique<PooledExchange>(connection);
}

void ConnectionPool::OnReleased(const Connection& connection) {
  if (connection->is_usable()) {
    idle_[connection->endpoint()].push_back(connection);
    return;
  }
  all_.erase(connection);
  ++closed_[std::string(ToString(connection->close_cause()))];
  const auto it = idle_.find(connection->endpoint());
  if (it == idle_.end()) return;
  std::erase(it->second, connection);
  if (it->second.empty()) idle_.erase(it);
}

void ConnectionPool::CloseIdle(const Endpoint& to) {
  const auto it = idle_.find(to);
  if (it == idle_.end()) return;
  const std::vector<Connection> kept = std::move(it->second);
  idle_.erase(it);
  for (const Connection& connection : kept) {
    connection->Close(CloseCause::kClosedByPool);
  }
}

}  // namespace briarspread::proxy
