#ifndef BRIARSPREAD_ADMISSION_ADMISSION_QUEUE_H_
#define BRIARSPREAD_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "briarspread/admission/admission_request.h"
#include "briarspread/admission/service_times.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Settings of an `AdmissionQueue`.
struct AdmissionQueueSettings {
  /// Service time assumed for a class until its first request has ended.
  Duration assumed_service_time = std::chrono::seconds(1);
  /// Maximum number of waiting requests of all classes. Needed because callers
  /// choose the class names, so that limits per class do not limit the total.
  std::size_t max_queued = 4096;
};

/// A queued request that is refused because its deadline cannot be met.
struct ExpiredRequest {
  AdmissionTicket ticket;
  /// Reason of the refusal, with the retry delay.
  Error error;
};

/// Decides which requests run, wait or are refused. Requests are ordered by:
/// live before rollout, lower level, earlier deadline. A request is queued only
/// if it is expected to start early enough to end by its deadline and the queue
/// of its class is not full, or if it can start immediately. Otherwise it is
/// refused immediately, with the delay after which the same request would be
/// accepted if no other request arrived. Requests that are refused because of a
/// full queue get successively longer retry delays, one for each place that
/// will become free, so that they do not all retry for the same place.
///
/// The caller drives the queue: after each call of `Enqueue`, `Finish`,
/// `Remove` or `SetCapacity`, and at the time `NextExpiry`, it must call
/// `PopReady` until that returns nothing, and then `PopExpired` until that
/// returns nothing. Not thread-safe; `AdmissionGate` is a thread-safe wrapper.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionQueueSettings& settings,
                 const AdmissionCapacity& capacity);

  /// Sets how many requests may run at the same time. Running requests
  /// continue, even if they exceed the new capacity.
  void SetCapacity(const AdmissionCapacity& capacity) { capacity_ = capacity; }

  /// Queues a request and returns its ticket. If the request is refused,
  /// returns `kOverloaded` with `retry_after`, or `kDeadlineExceeded` if the
  /// deadline has passed, both with the verdict `kNotRun`.
  Result<AdmissionTicket> Enqueue(const AdmissionRequest& request,
                                  TimePoint deadline, TimePoint now);
  /// Moves the first queued request to the running requests and returns its
  /// ticket, or returns nothing if no slot is free for it or none is queued.
  /// The caller must end the request with `Finish`.
  std::optional<AdmissionTicket> PopReady(TimePoint now);
  /// Removes and returns a queued request that is no longer expected to end by
  /// its deadline, or returns nothing if there is none.
  std::optional<ExpiredRequest> PopExpired(TimePoint now);
  /// Returns the time at which `PopExpired` will return the next request if
  /// the queue does not change, or nothing if the queue is empty.
  std::optional<TimePoint> NextExpiry() const;
  /// Removes a queued request, for instance because its caller disconnected.
  /// Returns false if it is not queued.
  bool Remove(AdmissionTicket ticket);
  /// Ends a running request and frees its slot. Precondition: `ticket` was
  /// returned by `PopReady` and is not finished.
  void Finish(AdmissionTicket ticket, TimePoint now);

  /// Number of requests that wait.
  std::size_t queued() const { return order_.size(); }
  /// Number of requests of one class that wait.
  std::uint32_t QueuedOf(const RequestClass& request_class) const;
  /// Number of requests that run.
  std::size_t running() const { return running_.size(); }

 private:
  /// Position of a request in the queue; smaller keys run first.
  struct Key {
    bool is_rollout = false;
    int level = 0;
    TimePoint deadline{};
    AdmissionTicket ticket;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Queued {
    AdmissionRequest request;
    Key key;
    /// Time after which the request expires if it has not started: the latest
    /// start with which it is expected to meet its deadline, or the start
    /// expected by `Enqueue` if that is later.
    TimePoint latest_start{};
  };
  struct Running {
    AdmissionRequest request;
    TimePoint started{};
  };
  /// Orders queued requests by the time at which they expire.
  struct Expiry {
    TimePoint latest_start{};
    AdmissionTicket ticket;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };

  bool HasSlotFor(bool is_rollout) const;
  bool IsQueueFull(const AdmissionRequest& request) const;
  TimePoint ExpectedStart(const Key& key, TimePoint now) const;
  TimePoint ExpectedStartAmong(const Key& key, TimePoint now,
                               bool rollouts_only) const;
  TimePoint FirstStartOfClass(const AdmissionRequest& request,
                              TimePoint now) const;
  Error Refusal(const AdmissionRequest& request, TimePoint deadline,
                TimePoint start, TimePoint now);
  TimePoint ReserveRetryTime(const AdmissionRequest& request,
                             TimePoint earliest, TimePoint now);
  void RemoveQueued(std::unordered_map<std::uint64_t, Queued>::iterator it);

  AdmissionCapacity capacity_;
  /// Maximum number of waiting requests of all classes.
  const std::size_t max_queued_;
  /// Estimated service times by class.
  ServiceTimes service_times_;
  /// Latest retry time given to a refused request of each class. Times in the
  /// past are removed.
  std::map<RequestClass, TimePoint> last_retry_times_;
  /// Number of the last ticket.
  std::uint64_t last_ticket_ = 0;
  /// Waiting requests by ticket.
  std::unordered_map<std::uint64_t, Queued> queued_;
  /// Waiting requests in the order in which they run.
  std::set<Key> order_;
  /// Waiting requests in the order in which they expire.
  std::set<Expiry> expiries_;
  /// Number of waiting requests by class, without classes that have none.
  std::map<RequestClass, std::uint32_t> queued_by_class_;
  /// Running requests by ticket.
  std::unordered_map<std::uint64_t, Running> running_;
  /// Number of running rollouts.
  std::uint32_t running_rollouts_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_QUEUE_H_
