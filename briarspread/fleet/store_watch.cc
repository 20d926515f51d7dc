#include "briarspread/fleet/store_watch.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace briarspread {

StoreWatch::StoreWatch(asio::io_context& loop, AsyncStore& store,
                       std::string prefix, const StoreWatchSettings& settings,
                       StoreWatchListener& listener)
    : store_(store),
      prefix_(std::move(prefix)),
      settings_(settings),
      listener_(listener),
      timer_(loop),
      next_backoff_(settings.initial_backoff) {}

void StoreWatch::Start() { Continue(); }

void StoreWatch::Restart() {
  ++latest_call_;
  timer_.Cancel();
  Continue();
}

void StoreWatch::Continue() {
  if (must_list_) {
    List();
  } else {
    Watch();
  }
}

void StoreWatch::List() {
  const std::uint64_t call = ++latest_call_;
  store_.List(prefix_, [this, call](const Result<StoreListing>& listing) {
    if (!IsCurrent(call)) return;
    if (!IsOk(listing)) {
      ScheduleRetry(ErrorOf(listing));
      return;
    }
    store_index_ = ValueOf(listing).store_index;
    must_list_ = false;
    has_listed_ = true;
    next_backoff_ = settings_.initial_backoff;
    last_answer_ = std::chrono::steady_clock::now();
    listener_.OnListing(ValueOf(listing));
    Watch();
  });
}

void StoreWatch::Watch() {
  const std::uint64_t call = ++latest_call_;
  store_.Watch(
      prefix_, store_index_, settings_.wait,
      [this, call](const Result<StoreChanges>& changes) {
        if (!IsCurrent(call)) return;
        if (!IsOk(changes)) {
          must_list_ = must_list_ || ErrorOf(changes).code == ErrorCode::kStale;
          ScheduleRetry(ErrorOf(changes));
          return;
        }
        const StoreChanges& got = ValueOf(changes);
        store_index_ = std::max(store_index_, got.store_index);
        next_backoff_ = settings_.initial_backoff;
        last_answer_ = std::chrono::steady_clock::now();
        if (got.changes.empty()) {
          Watch();
          return;
        }
        listener_.OnChanges(got);
        timer_.After(got.is_from_peer ? milliseconds(0) : settings_.pause,
                     [this] { Watch(); });
      });
}

void StoreWatch::ScheduleRetry(const Error& error) {
  // If the store lacks the changes since `store_index_`, the keys are listed
  // again without backoff.
  const bool is_stale = error.code == ErrorCode::kStale;
  if (!is_stale) {
    LOG_EVERY_N(WARNING, 10) << "event=watch_failed prefix=" << prefix_
                             << " reason=\"" << error.message << "\"";
  }
  timer_.After(is_stale ? milliseconds(0) : next_backoff_,
               [this] { Continue(); });
  next_backoff_ = std::min(next_backoff_ * 2, settings_.max_backoff);
}

}  // namespace briarspread
