#ifndef BENCH_ADMISSION_BENCH_POLICY_H_
#define BENCH_ADMISSION_BENCH_POLICY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "briarspread/admission/admission_queue.h"

namespace briarspread::bench {

/// Decides which requests run when. Not thread-safe.
class Policy {
 public:
  virtual ~Policy() = default;
  /// Takes request `id`, or refuses it with the time to come back.
  virtual Status Offer(std::uint64_t id, const AdmissionRequest& request,
                       TimePoint deadline, TimePoint now) = 0;
  /// A request that runs from now on.
  virtual std::optional<std::uint64_t> NextReady(TimePoint now) = 0;
  /// A queued request that is refused after all.
  virtual std::optional<std::uint64_t> NextExpired(TimePoint now) = 0;
  /// Ends a running request.
  virtual void Finish(std::uint64_t id, TimePoint now) = 0;
};

/// The baseline: one queue without bound, first come first served.
class FirstComePolicy final : public Policy {
 public:
  explicit FirstComePolicy(std::uint32_t slots) : free_slots_(slots) {}
  Status Offer(std::uint64_t id, const AdmissionRequest& request,
               TimePoint deadline, TimePoint now) override;
  std::optional<std::uint64_t> NextReady(TimePoint now) override;
  std::optional<std::uint64_t> NextExpired(TimePoint now) override;
  void Finish(std::uint64_t id, TimePoint now) override;

 private:
  /// Slots that nothing runs on.
  std::uint32_t free_slots_;
  /// Waiting requests.
  std::deque<std::uint64_t> queue_;
};

/// The product's `AdmissionQueue`.
class AdmissionPolicy final : public Policy {
 public:
  explicit AdmissionPolicy(const AdmissionCapacity& capacity)
      : queue_(AdmissionQueueSettings{}, capacity) {}
  Status Offer(std::uint64_t id, const AdmissionRequest& request,
               TimePoint deadline, TimePoint now) override;
  std::optional<std::uint64_t> NextReady(TimePoint now) override;
  std::optional<std::uint64_t> NextExpired(TimePoint now) override;
  void Finish(std::uint64_t id, TimePoint now) override;

 private:
  /// Decides.
  AdmissionQueue queue_;
  /// Request ids by ticket, and the reverse.
  std::unordered_map<std::uint64_t, std::uint64_t> id_of_ticket_;
  std::unordered_map<std::uint64_t, AdmissionTicket> ticket_of_id_;
};

}  // namespace briarspread::bench

#endif  // BENCH_ADMISSION_BENCH_POLICY_H_
