#ifndef BRIARSPREAD_FLEET_LOOP_TIMER_H_
#define BRIARSPREAD_FLEET_LOOP_TIMER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Calls a function once after a time, or again and again. Nothing is called
/// after `Cancel` or the end of this object. Loop's thread only.
class LoopTimer final {
 public:
  /// Precondition: `loop` outlives this object.
  explicit LoopTimer(asio::io_context& loop) : timer_(loop) {}
  ~LoopTimer() { Cancel(); }
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /// Calls `action` once, in place of what was set before.
  void After(Duration delay, std::function<void()> action) {
    // An expired timer cannot be cancelled any more: its call is in the loop's
    // queue. The token tells whether it is still wanted.
    token_ = std::make_shared<char>();
    is_set_ = true;
    timer_.expires_after(delay);
    timer_.async_wait([this, token = std::weak_ptr<char>(token_),
                       action = std::move(action)](asio::error_code ec) {
      if (ec || token.expired()) return;
      is_set_ = false;
      action();
    });
  }

  /// Calls `action` at each interval until cancelled.
  void Every(Duration interval, std::function<void()> action) {
    After(interval, [this, interval, action = std::move(action)] {
      Every(interval, action);
      action();
    });
  }

  void Cancel() {
    token_.reset();
    is_set_ = false;
    timer_.cancel();
  }
  /// Whether a call is to come.
  bool is_set() const { return is_set_; }

 private:
  asio::steady_timer timer_;
  /// Gone once the call that was set is not wanted any more.
  std::shared_ptr<char> token_;
  bool is_set_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_LOOP_TIMER_H_
