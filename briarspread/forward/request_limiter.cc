#include "briarspread/forward/request_limiter.h"

#include <glog/logging.h>

#include <algorithm>

namespace briarspread::forward {
namespace {

/// Longest mean time between two requests to limited upstreams.
constexpr seconds kMaxInterval{10};

}  // namespace

std::string_view ToString(RequestPurpose purpose) {
  switch (purpose) {
    case RequestPurpose::kLive:
      return "live";
    case RequestPurpose::kItem:
      return "item";
    case RequestPurpose::kControl:
      return "control";
  }
  return "unknown";
}

void RequestLimiter::RecordResponse(const UpstreamStart& start,
                                    const std::string* named, TimePoint sent) {
  const auto rate = named == nullptr ? std::nullopt : ParseRequestRate(*named);
  if (named != nullptr && !rate.has_value()) {
    LOG(WARNING) << "event=limit_malformed upstream=" << start.id;
    return;
  }
  const auto change = limits_.RecordResponse(start, rate, sent);
  OnLimitChange({start, rate}, change);
  const bool is_news = change == UpstreamLimits::Change::kNamed ||
                       change == UpstreamLimits::Change::kEnded;
  if (is_news && on_notice_) on_notice_({start, rate});
}

void RequestLimiter::RecordPeerNotice(const LimitNotice& notice) {
  OnLimitChange(notice, limits_.RecordPeerNotice(notice.start, notice.rate));
}

void RequestLimiter::OnLimitChange(const LimitNotice& notice,
                                   UpstreamLimits::Change change) {
  if (change == UpstreamLimits::Change::kNone) return;
  const UpstreamId& id = notice.start.id;
  LOG(INFO) << "event="
            << (notice.rate.has_value() ? "limit_named" : "limit_ended")
            << " upstream=" << id << " start=" << notice.start.start_id
            << " per_second=" << notice.rate.value_or(RequestRate(0));
  if (change != UpstreamLimits::Change::kEnded) return;
  std::erase_if(permits_,
                [&id](const auto& entry) { return entry.first.first == id; });
  WakeWaiters(id);
  if (on_item_permit_) on_item_permit_();
}

void RequestLimiter::RecordSend(const UpstreamId& id, RequestPurpose purpose) {
  const auto rate = limits_.Find(id);
  if (!rate.has_value()) return;
  ++metrics_.sends[std::string(ToString(purpose))];
  LOG(INFO) << "event=limited_send upstream=" << id
            << " purpose=" << ToString(purpose) << " per_second=" << *rate;
}

bool RequestLimiter::HasPermit(const UpstreamId& id,
                               RequestPurpose purpose) const {
  if (!limits_.Find(id).has_value()) return true;
  const auto it = permits_.find({id, purpose});
  return it != permits_.end() && it->second.is_unused &&
         clock_.Now() <= it->second.usable_until;
}

bool RequestLimiter::TakePermit(const UpstreamId& id, RequestPurpose purpose) {
  if (!limits_.Find(id).has_value()) return true;
  if (!HasPermit(id, purpose)) {
    RequestPermit(id, purpose);
    return false;
  }
  permits_[{id, purpose}].is_unused = false;
  return true;
}

void RequestLimiter::RequestPermit(const UpstreamId& id,
                                   RequestPurpose purpose) {
  const auto limit = limits_.FindNotice(id);
  if (!limit.has_value() || source_ == nullptr) return;
  const PermitKey key(id, purpose);
  Permit& permit = permits_[key];
  const TimePoint now = clock_.Now();
  if (permit.is_requested || now < permit.next_request) return;
  if (permit.is_unused) {
    if (now <= permit.usable_until) return;
    permit.is_unused = false;
    ++metrics_.permits["lapsed"];
  }
  permit.is_requested = true;
  const milliseconds max_wait = purpose == RequestPurpose::kLive
                                    ? settings_.max_live_wait
                                    : settings_.max_other_wait;
  source_->RequestPermit(
      {limit->start, *limit->rate, max_wait},
      [this, key](const PermitOutcome& outcome) { OnOutcome(key, outcome); });
}

void RequestLimiter::OnOutcome(const PermitKey& key,
                               const PermitOutcome& outcome) {
  ++metrics_.permits[outcome.is_granted ? "granted" : "denied"];
  const auto it = permits_.find(key);
  // The limit may have ended meanwhile.
  if (it == permits_.end()) return;
  Permit& permit = it->second;
  permit.is_requested = false;
  const TimePoint now = clock_.Now();
  if (outcome.is_granted) {
    permit.is_unused = true;
    permit.usable_until = now + settings_.permit_validity;
  } else {
    permit.next_request = now + outcome.retry_after;
  }
  if (key.second == RequestPurpose::kLive) WakeWaiters(key.first);
  const bool is_item = key.second == RequestPurpose::kItem;
  if (is_item && outcome.is_granted && on_item_permit_) on_item_permit_();
}

bool RequestLimiter::IsPermitPending(const UpstreamId& id,
                                     RequestPurpose purpose) const {
  const auto it = permits_.find({id, purpose});
  return it != permits_.end() && it->second.is_requested;
}

Duration RequestLimiter::TimeUntilRequest(const UpstreamId& id,
                                          RequestPurpose purpose) const {
  const auto it = permits_.find({id, purpose});
  if (it == permits_.end()) return Duration(0);
  return std::max<Duration>(Duration(0),
                            it->second.next_request - clock_.Now());
}

Duration RequestLimiter::MeanInterval(
    const std::vector<UpstreamId>& ids) const {
  double per_second = 0;
  for (const UpstreamId& id : ids) {
    per_second += limits_.Find(id).value_or(RequestRate(0)).value();
  }
  if (per_second <= 0) return kMaxInterval;
  return std::min<Duration>(kMaxInterval,
                            std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(1 / per_second)));
}

std::shared_ptr<RequestLimiter::Waiter> RequestLimiter::Wait(
    std::vector<UpstreamId> upstreams, std::function<void()> wake) {
  std::erase_if(waiters_, [](const auto& waiter) { return waiter.expired(); });
  if (waiters_.size() >= settings_.max_waiters) return nullptr;
  auto waiter =
      std::make_shared<Waiter>(Waiter{std::move(upstreams), std::move(wake)});
  waiters_.push_back(waiter);
  return waiter;
}

void RequestLimiter::WakeWaiters(const UpstreamId& id) {
  const bool had_permit = HasPermit(id, RequestPurpose::kLive);
  // A waiter that is woken may start to wait anew.
  const std::list<std::weak_ptr<Waiter>> waiters = waiters_;
  for (const std::weak_ptr<Waiter>& each : waiters) {
    const auto waiter = each.lock();
    if (waiter == nullptr) continue;
    const auto& ids = waiter->upstreams;
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) continue;
    if (had_permit && !HasPermit(id, RequestPurpose::kLive)) {
      // The permit is used; the next one is for this waiter.
      RequestPermit(id, RequestPurpose::kLive);
      if (IsPermitPending(id, RequestPurpose::kLive)) return;
    }
    waiter->wake();
  }
}

}  // namespace briarspread::forward
