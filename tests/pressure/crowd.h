#ifndef TESTS_PRESSURE_CROWD_H_
#define TESTS_PRESSURE_CROWD_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/core/upstream.h"

namespace briarspread::platform {

/// What one client of a crowd sends: `head`, then `piece` repeatedly until
/// `body_bytes` are sent. It never closes its connection.
struct ClientPlan {
  std::string head;
  std::string piece;
  std::size_t body_bytes = 0;
  /// Whether it reads and discards what the server sends.
  bool reads = true;
  /// Whether the server has a complete request once all is sent.
  bool is_complete = false;
};

/// Clients with a connection each, on the event loop of the test.
class Crowd final {
 public:
  /// Connects `clients` clients that all follow `plan`.
  Crowd(asio::io_context& loop, const Endpoint& to, const ClientPlan& plan,
        std::size_t clients);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Whether each client has sent all, and its request was answered if it is
  /// complete, or it was disconnected. Also true if nothing has happened for
  /// some seconds: a wait that ends early makes a check weaker, but cannot fail
  /// it.
  bool IsSettled() const;

 private:
  struct Client;

  void Connect(const std::shared_ptr<Client>& client, const Endpoint& to);
  void Send(const std::shared_ptr<Client>& client);
  void Read(const std::shared_ptr<Client>& client);

  const ClientPlan plan_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::chrono::steady_clock::time_point last_progress_;
};

}  // namespace briarspread::platform

#endif  // TESTS_PRESSURE_CROWD_H_
