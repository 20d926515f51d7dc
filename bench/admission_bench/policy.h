#ifndef BENCH_ADMISSION_BENCH_POLICY_H_
#define BENCH_ADMISSION_BENCH_POLICY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "briarspread/admission/admission_queue.h"

namespace briarspread::bench {

/// Admission policy: decides when requests run. Not thread-safe.
class Policy {
 public:
  virtual ~Policy() = default;
  /// Queues request `id`, or refuses it with a retry delay.
  virtual Status Offer(std::uint64_t id, const AdmissionRequest& request,
                       TimePoint deadline, TimePoint now) = 0;
  /// Starts the next queued request and returns its id, or returns nothing if
  /// none can start.
  virtual std::optional<std::uint64_t> PopReady(TimePoint now) = 0;
  /// Removes a queued request that can no longer meet its deadline and returns
  /// its id, or returns nothing if there is none.
  virtual std::optional<std::uint64_t> PopExpired(TimePoint now) = 0;
  /// Ends a running request.
  virtual void Finish(std::uint64_t id, TimePoint now) = 0;
};

/// The baseline: a FIFO queue of unlimited length, which refuses no request.
class FifoPolicy final : public Policy {
 public:
  explicit FifoPolicy(std::uint32_t slots) : free_slots_(slots) {}
  Status Offer(std::uint64_t id, const AdmissionRequest& request,
               TimePoint deadline, TimePoint now) override;
  std::optional<std::uint64_t> PopReady(TimePoint now) override;
  std::optional<std::uint64_t> PopExpired(TimePoint now) override;
  void Finish(std::uint64_t id, TimePoint now) override;

 private:
  /// Number of free slots.
  std::uint32_t free_slots_;
  /// Ids of the waiting requests.
  std::deque<std::uint64_t> queue_;
};

/// Policy that uses `AdmissionQueue`.
class AdmissionPolicy final : public Policy {
 public:
  explicit AdmissionPolicy(const AdmissionCapacity& capacity)
      : queue_(AdmissionQueueSettings{}, capacity) {}
  Status Offer(std::uint64_t id, const AdmissionRequest& request,
               TimePoint deadline, TimePoint now) override;
  std::optional<std::uint64_t> PopReady(TimePoint now) override;
  std::optional<std::uint64_t> PopExpired(TimePoint now) override;
  void Finish(std::uint64_t id, TimePoint now) override;

 private:
  AdmissionQueue queue_;
  /// Request ids by ticket, and tickets by request id.
  std::unordered_map<std::uint64_t, std::uint64_t> id_of_ticket_;
  std::unordered_map<std::uint64_t, AdmissionTicket> ticket_of_id_;
};

}  // namespace briarspread::bench

#endif  // BENCH_ADMISSION_BENCH_POLICY_H_
