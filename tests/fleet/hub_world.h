#ifndef TESTS_FLEET_HUB_WORLD_H_
#define TESTS_FLEET_HUB_WORLD_H_

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

#include "briarspread/fleet/delegated_store.h"
#include "briarspread/fleet/store_watch.h"
#include "briarspread/fleet/watch_hub.h"
#include "briarspread/proxy/http_listener.h"

namespace briarspread::testing {

/// Keeps what a watch reports.
struct RecordingListener final : StoreWatchListener {
  void OnListing(const StoreListing& listing) override {
    ++listings;
    values.clear();
    for (const KeyValue& item : listing.items) values[item.key] = item.value;
  }
  void OnChanges(const StoreChanges& changes) override {
    for (const StoreChange& change : changes.changes) {
      if (change.value.has_value()) {
        values[change.key] = *change.value;
      } else {
        values.erase(change.key);
      }
    }
  }
  int listings = 0;
  std::map<std::string, std::string> values;
};

inline StoreWatchSettings SettingsWithoutDelays() {
  StoreWatchSettings settings;
  settings.pause = milliseconds(0);
  settings.initial_backoff = milliseconds(0);
  settings.max_backoff = milliseconds(0);
  return settings;
}

/// An HTTP server that answers followers' calls from a hub.
struct HubServer final : proxy::RequestHandler {
  HubServer(asio::io_context& loop, WatchHub& hub)
      : hub(hub), listener(loop, *this) {
    REQUIRE(IsOk(listener.Start(Endpoint{"127.0.0.1", 0})));
  }
  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    ++calls;
    REQUIRE(hub.TryAnswer(request, responder));
  }
  Endpoint endpoint() const { return Endpoint{"127.0.0.1", listener.port()}; }
  WatchHub& hub;
  proxy::HttpListener listener;
  int calls = 0;
};

}  // namespace briarspread::testing

#endif  // TESTS_FLEET_HUB_WORLD_H_
