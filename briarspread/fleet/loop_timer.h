#ifndef BRIARSPREAD_FLEET_LOOP_TIMER_H_
#define BRIARSPREAD_FLEET_LOOP_TIMER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "briarspread/core/clock.h"

namespace briarspread {

/// Calls a function once after a delay, or periodically. Nothing is called
/// after `Cancel` or the destruction of this object. Loop's thread only.
class LoopTimer final {
 public:
  /// Precondition: `loop` outlives this object.
  explicit LoopTimer(asio::io_context& loop) : timer_(loop) {}
  ~LoopTimer() { Cancel(); }
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /// Calls `action` once after `delay`. Replaces an action set earlier.
  void After(Duration delay, std::function<void()> action) {
    // An expired timer cannot be cancelled any more: its handler is in the
    // loop's queue already. The handler does nothing if its token has expired.
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

  /// Calls `action` after each `interval` until cancelled.
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
  /// Whether a call of an action is pending.
  bool is_set() const { return is_set_; }

 private:
  asio::steady_timer timer_;
  /// Reset or replaced once the action set last must not be called any more.
  std::shared_ptr<char> token_;
  bool is_set_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_LOOP_TIMER_H_
