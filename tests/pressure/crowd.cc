#include "tests/pressure/crowd.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace briarspread::platform {

struct Crowd::Client {
  explicit Client(asio::io_context& loop) : socket(loop) {}
  asio::ip::tcp::socket socket;
  std::array<char, 4096> buf{};
  std::size_t sent = 0;
  bool has_sent_head = false;
  bool is_done = false;
  bool is_stopped = false;
};

Crowd::Crowd(asio::io_context& loop, const Endpoint& to, const ClientPlan& plan,
             std::size_t clients)
    : plan_(plan), last_progress_(std::chrono::steady_clock::now()) {
  for (std::size_t i = 0; i < clients; ++i) {
    clients_.push_back(std::make_shared<Client>(loop));
    Connect(clients_.back(), to);
  }
}

Crowd::~Crowd() {
  for (const auto& client : clients_) {
    client->is_stopped = true;
    asio::error_code ec;
    client->socket.close(ec);
  }
}

void Crowd::Connect(const std::shared_ptr<Client>& client, const Endpoint& to) {
  client->socket.async_connect({asio::ip::make_address(to.host), to.port},
                               [this, client](asio::error_code ec) {
                                 if (client->is_stopped) return;
                                 client->is_done = static_cast<bool>(ec);
                                 if (ec) return;
                                 Send(client);
                                 if (plan_.reads) Read(client);
                               });
}

void Crowd::Send(const std::shared_ptr<Client>& client) {
  std::string_view next = plan_.head;
  if (client->has_sent_head) {
    next = plan_.piece;
    next = next.substr(0, plan_.body_bytes - client->sent);
  }
  asio::async_write(client->socket, asio::buffer(next.data(), next.size()),
                    [this, client](asio::error_code ec, std::size_t n) {
                      if (client->is_stopped) return;
                      last_progress_ = std::chrono::steady_clock::now();
                      if (client->has_sent_head) client->sent += n;
                      client->has_sent_head = true;
                      const bool is_sent = client->sent >= plan_.body_bytes;
                      if (ec || (is_sent && !plan_.is_complete)) {
                        client->is_done = true;
                      }
                      if (!is_sent && !client->is_done) Send(client);
                    });
}

void Crowd::Read(const std::shared_ptr<Client>& client) {
  client->socket.async_read_some(
      asio::buffer(client->buf),
      [this, client](asio::error_code ec, std::size_t) {
        if (client->is_stopped) return;
        last_progress_ = std::chrono::steady_clock::now();
        client->is_done = client->is_done || plan_.is_complete;
        if (ec) {
          client->is_done = true;
          client->socket.close(ec);
          return;
        }
        Read(client);
      });
}

bool Crowd::IsSettled() const {
  // The server may still read what the clients have sent.
  constexpr std::chrono::seconds kQuiet{1};
  constexpr std::chrono::seconds kMaxQuiet{5};
  const auto quiet = std::chrono::steady_clock::now() - last_progress_;
  if (quiet < kQuiet) return false;
  return quiet > kMaxQuiet ||
         std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->is_done; });
}

}  // namespace briarspread::platform
