#ifndef BRIARSPREAD_FLEET_WATCH_HUB_H_
#define BRIARSPREAD_FLEET_WATCH_HUB_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/fleet/change_log.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/fleet/store_watch.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread {

/// Settings of the hub.
struct WatchHubSettings {
  /// Maximum number of changes held for each prefix.
  std::size_t max_changes = 2000;
  /// The longest that a follower's call waits for a change.
  milliseconds max_wait{2000};
  /// Time between two checks of the waiting calls for expired deadlines.
  milliseconds tick{100};
};

/// Serves the results of this instance's watches to followers, which are other
/// instances, so that one instance's watch of the store serves many. Answers
/// followers with status 503 while this instance cannot reach the store, and at
/// the end of a call's wait if this instance is a follower itself: two
/// followers of each other would never learn of a change. Loop's thread only.
class WatchHub final {
 public:
  static constexpr char kListingPath[] = "/v1/listing";
  static constexpr char kChangesPath[] = "/v1/changes";

  /// Precondition: `loop` and `clock` outlive this object.
  WatchHub(asio::io_context& loop, const Clock& clock,
           const WatchHubSettings& settings);
  ~WatchHub();
  WatchHub(const WatchHub&) = delete;
  WatchHub& operator=(const WatchHub&) = delete;

  /// Returns a listener that forwards to `next` and serves what it receives to
  /// followers of `prefix`. Valid as long as this object, or until the next
  /// call with the same prefix. Precondition: `next` outlives the listener.
  StoreWatchListener& WrapListener(const std::string& prefix,
                                   StoreWatchListener& next);

  /// Sets the function that returns whether this instance's watch of a prefix
  /// is at the store; by default all are.
  void SetIsAtStore(
      std::function<bool(const std::string& prefix)> is_at_store) {
    is_at_store_ = std::move(is_at_store);
  }
  /// Sets whether this instance can reach the store.
  void SetReachable(bool is_reachable);

  /// Answers a follower's call now or later and returns true; returns false if
  /// the path is not one of the paths above.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  class PrefixLog;
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  /// A follower's call that waits for a change.
  struct WaitingCall {
    std::string prefix;
    StoreIndex after;
    TimePoint deadline{};
    ResponderPtr responder;
  };

  /// Answers the waiting calls that have changes or whose deadline has passed.
  void AnswerWaitingCalls();
  /// Answers the call if there are changes, if they cannot be served, or if its
  /// deadline has passed (`is_expired`). Returns whether it was answered.
  bool TryAnswerWaitingCall(const WaitingCall& waiting, bool is_expired);

  const Clock& clock_;
  const WatchHubSettings settings_;
  LoopTimer timer_;
  std::map<std::string, std::unique_ptr<PrefixLog>> prefixes_;
  std::vector<WaitingCall> waiting_;
  std::function<bool(const std::string&)> is_at_store_;
  bool is_reachable_ = true;
};

/// Encode and decode the CBOR bodies of a hub's answers. Decoding returns
/// nothing for malformed input. Thread-safe.
std::string EncodeListing(const StoreListing& listing);
std::optional<StoreListing> DecodeListing(const std::string& bytes);
std::string EncodeChanges(const StoreChanges& changes);
std::optional<StoreChanges> DecodeChanges(const std::string& bytes);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_WATCH_HUB_H_
