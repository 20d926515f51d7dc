#include "briarspread/admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace briarspread {
namespace {

/// Times at which the slots become free, earliest first.
using SlotTimes = std::priority_queue<TimePoint, std::vector<TimePoint>,
                                      std::greater<TimePoint>>;

/// Returns the time from `now` to `then`, rounded up to milliseconds and at
/// least 1 ms, so that a retry does not come too early.
milliseconds UntilRoundedUp(TimePoint then, TimePoint now) {
  const auto wait = std::chrono::ceil<milliseconds>(then - now);
  return std::max(wait, milliseconds(1));
}

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& settings,
                               const AdmissionCapacity& capacity)
    : capacity_(capacity),
      max_queued_(settings.max_queued),
      service_times_(settings.assumed_service_time) {}

bool AdmissionQueue::HasSlotFor(bool is_rollout) const {
  if (running_.size() >= capacity_.slots) return false;
  return !is_rollout || running_rollouts_ < capacity_.rollout_slots;
}

std::uint32_t AdmissionQueue::QueuedOf(
    const RequestClass& request_class) const {
  const auto it = queued_by_class_.find(request_class);
  return it == queued_by_class_.end() ? 0 : it->second;
}

bool AdmissionQueue::IsQueueFull(const AdmissionRequest& request) const {
  return queued() >= max_queued_ ||
         QueuedOf(request.request_class) >= request.queue_length;
}

Result<AdmissionTicket> AdmissionQueue::Enqueue(const AdmissionRequest& request,
                                                TimePoint deadline,
                                                TimePoint now) {
  if (deadline <= now) {
    return Error{ErrorCode::kDeadlineExceeded, Verdict::kNotRun,
                 "the deadline has passed", std::nullopt};
  }
  const AdmissionTicket ticket(last_ticket_ + 1);
  const Key key{request.is_rollout, request.level, deadline, ticket};
  const TimePoint start = ExpectedStart(key, now);
  const Duration service = service_times_.Of(request.request_class);
  // A request that can start now is accepted even if it is expected to run past
  // its deadline: without running requests, a too high estimate of the service
  // time would never be corrected.
  if (start > now && (IsQueueFull(request) || start + service > deadline)) {
    return Refusal(request, deadline, start, now);
  }
  last_ticket_ = ticket.value();
  const TimePoint latest_start = std::max(deadline - service, start);
  queued_[ticket.value()] = {request, key, latest_start};
  order_.insert(key);
  expiries_.insert({latest_start, ticket});
  ++queued_by_class_[request.request_class];
  return ticket;
}

Error AdmissionQueue::Refusal(const AdmissionRequest& request,
                              TimePoint deadline, TimePoint start,
                              TimePoint now) {
  const Duration service = service_times_.Of(request.request_class);
  TimePoint retry_time = now;
  std::string reason = "the expected wait exceeds the deadline";
  if (IsQueueFull(request)) {
    // A place in the queue becomes free when the first request of the class
    // starts. A class with a queue length of zero needs a free slot.
    retry_time = QueuedOf(request.request_class) == 0
                     ? start
                     : FirstStartOfClass(request, now);
    retry_time = ReserveRetryTime(request, retry_time, now);
    reason =
        "the queue of class '" + request.request_class.value() + "' is full";
  }
  // A later retry has a shorter wait, by the time until the retry. If the
  // deadline is shorter than the service time, the request needs a slot that is
  // free immediately.
  const TimePoint latest = std::max(deadline - service, now);
  if (start > latest) retry_time = std::max(retry_time, now + (start - latest));
  return Error{ErrorCode::kOverloaded, Verdict::kNotRun, reason,
               UntilRoundedUp(retry_time, now)};
}

TimePoint AdmissionQueue::ReserveRetryTime(const AdmissionRequest& request,
                                           TimePoint earliest, TimePoint now) {
  std::erase_if(last_retry_times_,
                [now](const auto& entry) { return entry.second < now; });
  const std::uint32_t slots =
      request.is_rollout ? capacity_.rollout_slots : capacity_.slots;
  const Duration interval =
      service_times_.Of(request.request_class) / std::max(slots, 1U);
  // Limited to the time in which a full queue empties, because callers that
  // were refused earlier may never retry.
  const TimePoint latest =
      earliest + interval * std::max(request.queue_length, 1U);
  const auto [it, is_first] =
      last_retry_times_.try_emplace(request.request_class, earliest);
  if (!is_first) {
    const TimePoint next = std::max(it->second + interval, earliest);
    it->second = std::min(next, latest);
  }
  return it->second;
}

TimePoint AdmissionQueue::FirstStartOfClass(const AdmissionRequest& request,
                                            TimePoint now) const {
  const auto first =
      std::find_if(order_.begin(), order_.end(), [&](const Key& key) {
        const Queued& queued = queued_.at(key.ticket.value());
        return queued.request.request_class == request.request_class;
      });
  return first == order_.end() ? now : ExpectedStart(*first, now);
}

TimePoint AdmissionQueue::ExpectedStart(const Key& key, TimePoint now) const {
  const TimePoint start = ExpectedStartAmong(key, now, false);
  if (!key.is_rollout) return start;
  return std::max(start, ExpectedStartAmong(key, now, true));
}

TimePoint AdmissionQueue::ExpectedStartAmong(const Key& key, TimePoint now,
                                             bool rollouts_only) const {
  // Simulates that each request ahead in the queue takes the slot that becomes
  // free first.
  const std::uint32_t slots =
      rollouts_only ? capacity_.rollout_slots : capacity_.slots;
  SlotTimes free_at;
  int overdue = 0;
  for (const auto& [ticket, running] : running_) {
    if (rollouts_only && !running.request.is_rollout) continue;
    const Duration service = service_times_.Of(running.request.request_class);
    const TimePoint end = running.started + service;
    // Requests that run longer than expected are assumed to end one after
    // another, at the rate of all slots. If they were assumed to end
    // immediately, refused callers would repeatedly be asked to retry
    // immediately.
    const Duration interval = service / std::max(slots, 1U);
    free_at.push(end > now ? end : now + interval * ++overdue);
  }
  // If the capacity was lowered below the number of running requests, the
  // surplus must end first.
  while (slots > 0 && free_at.size() > slots) free_at.pop();
  while (free_at.size() < slots) free_at.push(now);
  if (free_at.empty()) return now + service_times_.Of(RequestClass{});
  for (const Key& ahead : order_) {
    if (ahead > key || ahead == key) break;
    if (rollouts_only && !ahead.is_rollout) continue;
    const Queued& queued = queued_.at(ahead.ticket.value());
    const Duration service = service_times_.Of(queued.request.request_class);
    const TimePoint end = free_at.top() + service;
    free_at.pop();
    free_at.push(end);
  }
  return free_at.top();
}

std::optional<AdmissionTicket> AdmissionQueue::PopReady(TimePoint now) {
  if (order_.empty()) return std::nullopt;
  const Key key = *order_.begin();
  // Live requests are ordered first, so if the first request is a rollout, all
  // are.
  if (!HasSlotFor(key.is_rollout)) return std::nullopt;
  const auto it = queued_.find(key.ticket.value());
  running_[key.ticket.value()] = {it->second.request, now};
  if (key.is_rollout) ++running_rollouts_;
  RemoveQueued(it);
  return key.ticket;
}

std::optional<ExpiredRequest> AdmissionQueue::PopExpired(TimePoint now) {
  if (expiries_.empty() || expiries_.begin()->latest_start >= now) {
    return std::nullopt;
  }
  const AdmissionTicket ticket = expiries_.begin()->ticket;
  const auto it = queued_.find(ticket.value());
  const Queued queued = it->second;
  const TimePoint start = ExpectedStart(queued.key, now);
  RemoveQueued(it);
  Error error =
      Refusal(queued.request, queued.key.deadline, std::max(start, now), now);
  error.message = "the deadline can no longer be met";
  return ExpiredRequest{ticket, error};
}

std::optional<TimePoint> AdmissionQueue::NextExpiry() const {
  if (expiries_.empty()) return std::nullopt;
  return expiries_.begin()->latest_start + Duration(1);
}

bool AdmissionQueue::Remove(AdmissionTicket ticket) {
  const auto it = queued_.find(ticket.value());
  if (it == queued_.end()) return false;
  RemoveQueued(it);
  return true;
}

void AdmissionQueue::RemoveQueued(
    std::unordered_map<std::uint64_t, Queued>::iterator it) {
  const Queued& queued = it->second;
  order_.erase(queued.key);
  expiries_.erase({queued.latest_start, queued.key.ticket});
  const auto count = queued_by_class_.find(queued.request.request_class);
  if (--count->second == 0) queued_by_class_.erase(count);
  queued_.erase(it);
}

void AdmissionQueue::Finish(AdmissionTicket ticket, TimePoint now) {
  const auto it = running_.find(ticket.value());
  assert(it != running_.end());
  const Running& running = it->second;
  service_times_.Record(running.request.request_class, now - running.started);
  if (running.request.is_rollout) --running_rollouts_;
  running_.erase(it);
}

}  // namespace briarspread
