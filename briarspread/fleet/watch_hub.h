#ifndef BRIARSPREAD_FLEET_WATCH_HUB_H_
#define BRIARSPREAD_FLEET_WATCH_HUB_H_

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
  /// Changes held for each prefix.
  std::size_t max_changes = 2000;
  /// The longest that a follower's call waits.
  milliseconds longest_wait{2000};
  /// How often waiting calls are looked through.
  milliseconds tick{100};
};

/// Shows other instances what this one's watches have seen, so that one of them
/// asks the store for many. Says nothing while this one cannot reach the store.
/// Loop's thread only.
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

  /// A listener that passes on to `next` and shows the prefix to followers.
  /// Valid as long as this object. Precondition: `next` outlives it.
  StoreWatchListener& Tap(const std::string& prefix, StoreWatchListener& next);

  /// Whether the store can be reached from here.
  void SetReachable(bool is_reachable);

  /// Answers a follower's call; false for any other.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  class Prefix;
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  /// A follower's call that waits for a change.
  struct Waiting {
    std::string prefix;
    StoreIndex after;
    TimePoint deadline{};
    ResponderPtr responder;
  };

  void Serve();
  /// Answers if there is something to tell; false otherwise.
  bool TryServe(const Waiting& waiting, bool is_over);

  const Clock& clock_;
  const WatchHubSettings settings_;
  LoopTimer timer_;
  std::map<std::string, std::unique_ptr<Prefix>> prefixes_;
  std::vector<Waiting> waiting_;
  bool is_reachable_ = true;
};

/// CBOR of what a hub tells. Parsing gives nothing for malformed input.
/// Thread-safe.
std::string EncodeListing(const StoreListing& listing);
std::optional<StoreListing> DecodeListing(const std::string& bytes);
std::string EncodeChanges(const StoreChanges& changes);
std::optional<StoreChanges> DecodeChanges(const std::string& bytes);

}  // namespace briarspread

#endif  // BRIARSPREAD_FLEET_WATCH_HUB_H_
