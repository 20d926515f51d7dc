#ifndef BRIARSPREAD_FLEET_STORE_WATCH_H_
#define BRIARSPREAD_FLEET_STORE_WATCH_H_

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "briarspread/core/async_store.h"
#include "briarspread/core/clock.h"
#include "briarspread/fleet/loop_timer.h"

namespace briarspread {

/// Settings of a watch.
struct StoreWatchSettings {
  /// The longest that one call waits at the store.
  milliseconds wait{10000};
  /// The pause after changes came, so that several changes cost one call.
  milliseconds pause{300};
  /// The pause after a failure; doubles up to the limit.
  milliseconds first_retry{150};
  milliseconds retry_limit{1000};
};

/// Hears of the keys under a prefix. Called from the loop.
class StoreWatchListener {
 public:
  virtual ~StoreWatchListener() = default;
  /// All keys; what is not among them is gone.
  virtual void OnListing(const StoreListing& listing) = 0;
  virtual void OnChanges(const StoreChanges& changes) = 0;
};

/// Follows the keys under a prefix: lists them, then watches; lists again where
/// the store has forgotten its history. Never gives up. Loop's thread only.
class StoreWatch final {
 public:
  /// Precondition: references outlive this object, and calls under way too.
  StoreWatch(asio::io_context& loop, AsyncStore& store, std::string prefix,
             const StoreWatchSettings& settings, StoreWatchListener& listener);

  void Start();
  /// Drops the call under way and asks anew; for a path that has gone silent.
  void Restart();
  /// Whether the keys were listed once.
  bool has_listed() const { return has_listed_; }
  /// When the store last answered, by the steady clock.
  TimePoint last_answer() const { return last_answer_; }

 private:
  void List();
  void Watch();
  void Retry(const Error& error);
  void Continue();
  bool IsCurrent(std::uint64_t call) const { return call == call_; }

  AsyncStore& store_;
  const std::string prefix_;
  const StoreWatchSettings settings_;
  StoreWatchListener& listener_;
  LoopTimer timer_;
  StoreIndex at_;
  bool has_listed_ = false;
  bool must_list_ = true;
  /// Numbers the calls, so that answers to dropped ones are told apart.
  std::uint64_t call_ = 0;
  milliseconds next_retry_;
  TimePoint last_answer_{};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_STORE_WATCH_H_
