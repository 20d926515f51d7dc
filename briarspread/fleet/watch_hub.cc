#include "briarspread/fleet/watch_hub.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kGone = 410;
constexpr int kUnavailable = 503;

void SendStatus(proxy::Responder& responder, int status) {
  responder.Send(proxy::MakeResponse(status, "{}"));
}

void SendBytes(proxy::Responder& responder, std::string bytes) {
  proxy::Response response;
  response.head.status = 200;
  response.head.headers.Add("Content-Type", "application/cbor");
  response.body = std::move(bytes);
  responder.Send(response);
}

std::uint64_t NumberParameter(std::string_view query, std::string_view name) {
  const auto text = proxy::FindParameter(query, name);
  return proxy::ParseNumber(text.value_or("")).value_or(0);
}

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace

std::string EncodeListing(const StoreListing& listing) {
  Json items = Json::array();
  for (const KeyValue& item : listing.items) {
    items.push_back({item.key, item.value, item.index.value()});
  }
  return ToBytes(
      {{"at", listing.store_index.value()}, {"items", std::move(items)}});
}

std::optional<StoreListing> DecodeListing(const std::string& bytes) {
  const Json json = Json::from_cbor(bytes, true, false);
  try {
    StoreListing listing;
    listing.store_index = StoreIndex(json.at("at").get<std::uint64_t>());
    for (const Json& item : json.at("items")) {
      listing.items.push_back({item.at(0).get<std::string>(),
                               item.at(1).get<std::string>(),
                               StoreIndex(item.at(2).get<std::uint64_t>())});
    }
    return listing;
  } catch (const Json::exception&) {
    // Malformed; the caller falls back to the store.
    return std::nullopt;
  }
}

std::string EncodeChanges(const StoreChanges& changes) {
  Json rows = Json::array();
  for (const StoreChange& change : changes.changes) {
    Json row = {change.key, change.index.value()};
    if (change.value.has_value()) row.push_back(*change.value);
    rows.push_back(std::move(row));
  }
  return ToBytes(
      {{"at", changes.store_index.value()}, {"changes", std::move(rows)}});
}

std::optional<StoreChanges> DecodeChanges(const std::string& bytes) {
  const Json json = Json::from_cbor(bytes, true, false);
  try {
    StoreChanges changes;
    changes.store_index = StoreIndex(json.at("at").get<std::uint64_t>());
    for (const Json& row : json.at("changes")) {
      StoreChange change;
      change.key = row.at(0).get<std::string>();
      change.index = StoreIndex(row.at(1).get<std::uint64_t>());
      if (row.size() > 2) change.value = row.at(2).get<std::string>();
      changes.changes.push_back(std::move(change));
    }
    return changes;
  } catch (const Json::exception&) {
    // Malformed; the caller falls back to the store.
    return std::nullopt;
  }
}

/// Forwards one prefix's listings and changes to the next listener, and keeps
/// them for followers.
class WatchHub::PrefixLog final : public StoreWatchListener {
 public:
  PrefixLog(WatchHub& hub, std::size_t max_changes, StoreWatchListener& next)
      : log(max_changes), hub_(hub), next_(next) {}

  void OnListing(const StoreListing& listing) override {
    log.ApplyListing(listing);
    next_.OnListing(listing);
    hub_.AnswerWaitingCalls();
  }
  void OnChanges(const StoreChanges& changes) override {
    log.ApplyChanges(changes);
    next_.OnChanges(changes);
    hub_.AnswerWaitingCalls();
  }

  ChangeLog log;

 private:
  WatchHub& hub_;
  StoreWatchListener& next_;
};

WatchHub::WatchHub(asio::io_context& loop, const Clock& clock,
                   const WatchHubSettings& settings)
    : clock_(clock), settings_(settings), timer_(loop) {
  timer_.Every(settings.tick, [this] { AnswerWaitingCalls(); });
}

WatchHub::~WatchHub() = default;

StoreWatchListener& WatchHub::WrapListener(const std::string& prefix,
                                           StoreWatchListener& next) {
  auto made = std::make_unique<PrefixLog>(*this, settings_.max_changes, next);
  PrefixLog& wrapper = *made;
  prefixes_[prefix] = std::move(made);
  return wrapper;
}

void WatchHub::SetReachable(bool is_reachable) {
  is_reachable_ = is_reachable;
  if (!is_reachable) AnswerWaitingCalls();
}

bool WatchHub::TryAnswerWaitingCall(const WaitingCall& waiting,
                                    bool is_expired) {
  const auto it = prefixes_.find(waiting.prefix);
  const bool can_answer =
      is_reachable_ && it != prefixes_.end() && it->second->log.has_listed();
  if (!can_answer) {
    SendStatus(*waiting.responder, kUnavailable);
    return true;
  }
  const auto changes = it->second->log.ChangesAfter(waiting.after);
  if (!changes.has_value()) {
    SendStatus(*waiting.responder, kGone);
    return true;
  }
  if (changes->changes.empty()) {
    if (!is_expired) return false;
    if (is_at_store_ && !is_at_store_(waiting.prefix)) {
      SendStatus(*waiting.responder, kUnavailable);
      return true;
    }
  }
  SendBytes(*waiting.responder, EncodeChanges(*changes));
  return true;
}

void WatchHub::AnswerWaitingCalls() {
  if (waiting_.empty()) return;
  const TimePoint now = clock_.Now();
  std::vector<WaitingCall> all = std::exchange(waiting_, {});
  std::erase_if(all, [this, now](const WaitingCall& waiting) {
    return TryAnswerWaitingCall(waiting, now >= waiting.deadline);
  });
  // Answering a call may have added new calls to `waiting_`.
  waiting_.insert(waiting_.end(), std::make_move_iterator(all.begin()),
                  std::make_move_iterator(all.end()));
}

bool WatchHub::TryAnswer(const proxy::Request& request,
                         const ResponderPtr& responder) {
  const auto target = proxy::SplitTarget(request.head.target);
  const std::string prefix =
      proxy::FindParameter(target.query, "prefix").value_or("");
  if (target.path == kListingPath) {
    const auto it = prefixes_.find(prefix);
    const bool can_answer =
        is_reachable_ && it != prefixes_.end() && it->second->log.has_listed();
    if (can_answer) {
      SendBytes(*responder, EncodeListing(it->second->log.Listing()));
    } else {
      SendStatus(*responder, kUnavailable);
    }
    return true;
  }
  if (target.path != kChangesPath) return false;
  const milliseconds requested_wait(
      static_cast<std::int64_t>(NumberParameter(target.query, "wait")));
  WaitingCall call{prefix, StoreIndex(NumberParameter(target.query, "after")),
                   clock_.Now() + std::min(requested_wait, settings_.max_wait),
                   responder};
  if (!TryAnswerWaitingCall(call, false)) waiting_.push_back(std::move(call));
  return true;
}

}  // namespace briarspread
