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

/// How an admission queue estimates.
struct AdmissionQueueSettings {
  /// Service time assumed of a class of which no request has ended.
  Duration assumed_service_time = std::chrono::seconds(1);
};

/// A queued request that is refused because its deadline cannot be met.
struct ExpiredRequest {
  /// The request.
  AdmissionTicket ticket;
  /// Why, and when to come back.
  Error error;
};

/// Decides which requests run now, wait, or are refused. Live requests come
/// before rollouts, then the lower level, then the earlier deadline. A request
/// waits only if it is expected to start soon enough to end by its deadline
/// and its class has room; else it is refused at once, with the time after
/// which the same request would be taken if nothing else arrived.
///
/// Driven event by event: after each `Enqueue`, `Finish`, `Remove` or
/// `SetCapacity`, and at `NextExpiry`, call `NextReady` until it is empty and
/// then `NextExpired` until it is empty. Not thread-safe; `AdmissionGate` is.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionQueueSettings& settings,
                 const AdmissionCapacity& capacity);

  /// Sets how many requests may run. Those that run go on.
  void SetCapacity(const AdmissionCapacity& capacity) { capacity_ = capacity; }

  /// Queues a request, or refuses it: `kOverloaded`, `kNotRun`, with
  /// `retry_after`; `kDeadlineExceeded` where the deadline has passed.
  Result<AdmissionTicket> Enqueue(const AdmissionRequest& request,
                                  TimePoint deadline, TimePoint now);
  /// The queued request that runs from now on, or nothing while no slot is free
  /// for any. End it with `Finish`.
  std::optional<AdmissionTicket> NextReady(TimePoint now);
  /// A queued request that can no longer end by its deadline; it is removed.
  std::optional<ExpiredRequest> NextExpired(TimePoint now);
  /// When `NextExpired` has something next if nothing else happens.
  std::optional<TimePoint> NextExpiry() const;
  /// Takes a queued request out because its caller has gone. False where it is
  /// not queued.
  bool Remove(AdmissionTicket ticket);
  /// Ends a running request and frees its slot.
  /// Precondition: `ticket` came from `NextReady` and was not finished.
  void Finish(AdmissionTicket ticket, TimePoint now);

  /// Requests waiting.
  std::size_t queued() const { return order_.size(); }
  /// Requests waiting of one class.
  std::uint32_t QueuedOf(const RequestClass& request_class) const;
  /// Requests running.
  std::size_t running() const { return running_.size(); }

 private:
  /// Orders the queue.
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
    /// After this time it cannot end by its deadline.
    TimePoint latest_start{};
  };
  struct Running {
    AdmissionRequest request;
    TimePoint started{};
  };
  /// Orders queued requests by when they expire.
  struct Expiry {
    TimePoint latest_start{};
    AdmissionTicket ticket;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };

  bool HasSlotFor(bool is_rollout) const;
  bool HasFullQueue(const AdmissionRequest& request) const;
  TimePoint ExpectedStart(const Key& key, TimePoint now) const;
  TimePoint ExpectedStartAmong(const Key& key, TimePoint now,
                               bool rollouts_only) const;
  TimePoint FirstStartOfClass(const AdmissionRequest& request,
                              TimePoint now) const;
  Error Refusal(const AdmissionRequest& request, TimePoint deadline,
                TimePoint start, TimePoint now) const;
  void Take(std::unordered_map<std::uint64_t, Queued>::iterator it);

  /// How many may run.
  AdmissionCapacity capacity_;
  /// Estimates.
  ServiceTimes service_times_;
  /// The last ticket's number.
  std::uint64_t last_ticket_ = 0;
  /// Waiting requests by ticket.
  std::unordered_map<std::uint64_t, Queued> queued_;
  /// The same in the order in which they run.
  std::set<Key> order_;
  /// The same in the order in which they expire.
  std::set<Expiry> expiries_;
  /// How many of each class wait; classes without any are left out.
  std::map<RequestClass, std::uint32_t> queued_by_class_;
  /// Running requests by ticket.
  std::unordered_map<std::uint64_t, Running> running_;
  /// Running requests that trainers wait for.
  std::uint32_t running_rollouts_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_QUEUE_H_
