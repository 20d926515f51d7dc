#include "tests/soak/loopback_proxy.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace briarspread::soak {
namespace {

using asio::ip::tcp;

tcp::endpoint OnLoopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

}  // namespace

/// A connection from a caller and the corresponding connection to the target.
class LoopbackProxy::Link final : public std::enable_shared_from_this<Link> {
 public:
  Link(tcp::socket from, std::shared_ptr<LinkFault> fault)
      : sockets_{std::move(from), tcp::socket(from.get_executor())},
        fault_(std::move(fault)) {}

  void Start(const tcp::endpoint& target) {
    sockets_.to.async_connect(
        target, [self = shared_from_this()](asio::error_code ec) {
          if (ec) {
            self->Reset();
            return;
          }
          self->ReadNext(self->sockets_.from, self->sockets_.to,
                         self->request_buffer_, &LinkFault::drops_requests);
          self->ReadNext(self->sockets_.to, self->sockets_.from,
                         self->response_buffer_, &LinkFault::drops_responses);
        });
  }

  void Reset() {
    asio::error_code ec;
    for (tcp::socket* socket : {&sockets_.from, &sockets_.to}) {
      socket->set_option(asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
    }
  }

 private:
  using Buffer = std::array<char, 16384>;
  struct Sockets {
    tcp::socket from;
    tcp::socket to;
  };

  void ReadNext(tcp::socket& from, tcp::socket& to, Buffer& buf,
                bool LinkFault::*is_dropping) {
    from.async_read_some(asio::buffer(buf),
                         [self = shared_from_this(), &from, &to, &buf,
                          is_dropping](asio::error_code ec, std::size_t n) {
                           if (ec == asio::error::eof) {
                             asio::error_code ignored;
                             to.shutdown(tcp::socket::shutdown_send, ignored);
                             return;
                           }
                           if (ec) {
                             self->Reset();
                             return;
                           }
                           self->Forward(from, to, buf, n, is_dropping);
                         });
  }

  void Forward(tcp::socket& from, tcp::socket& to, Buffer& buf, std::size_t n,
               bool LinkFault::*is_dropping) {
    if ((*fault_).*is_dropping) {
      ReadNext(from, to, buf, is_dropping);
      return;
    }
    if (fault_->is_flooding && &to == &sockets_.from) {
      Flood();
      return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(from.get_executor(),
                                                            fault_->delay);
    timer->async_wait([self = shared_from_this(), timer, &from, &to, &buf, n,
                       is_dropping](asio::error_code) {
      asio::async_write(to, asio::buffer(buf.data(), n),
                        [self, &from, &to, &buf, is_dropping](
                            asio::error_code ec, std::size_t) {
                          if (ec) {
                            self->Reset();
                            return;
                          }
                          self->ReadNext(from, to, buf, is_dropping);
                        });
    });
  }

  void Flood() {
    constexpr milliseconds kPause{1};
    response_buffer_.fill('x');
    const auto timer = std::make_shared<asio::steady_timer>(
        sockets_.from.get_executor(), kPause);
    timer->async_wait([self = shared_from_this(), timer](asio::error_code) {
      asio::async_write(self->sockets_.from,
                        asio::buffer(self->response_buffer_),
                        [self](asio::error_code ec, std::size_t) {
                          if (ec) {
                            self->Reset();
                          } else {
                            self->Flood();
                          }
                        });
    });
  }

  Sockets sockets_;
  std::shared_ptr<LinkFault> fault_;
  Buffer request_buffer_{};
  Buffer response_buffer_{};
};

LoopbackProxy::LoopbackProxy(asio::io_context& loop, std::uint16_t port,
                             const Endpoint& target)
    : acceptor_(loop, OnLoopback(port)),
      target_(OnLoopback(target.port)),
      fault_(std::make_shared<LinkFault>()) {
  Accept();
}

LoopbackProxy::~LoopbackProxy() = default;

void LoopbackProxy::Accept() {
  acceptor_.async_accept([this](asio::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) {
      const auto link = std::make_shared<Link>(std::move(socket), fault_);
      std::erase_if(links_, [](const auto& it) { return it.use_count() == 1; });
      links_.insert(link);
      link->Start(target_);
    }
    Accept();
  });
}

void LoopbackProxy::ResetAll() {
  for (const auto& link : links_) link->Reset();
  links_.clear();
}

}  // namespace briarspread::soak
