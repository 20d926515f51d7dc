#ifndef BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_
#define BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_

#include <cstdint>

#include "briarspread/core/ids.h"

namespace briarspread {

/// Names one request in an `AdmissionQueue`, from `Enqueue` on.
using AdmissionTicket = StrongValue<struct AdmissionTicketTag, std::uint64_t>;

/// What admission needs to know of a request.
struct AdmissionRequest {
  /// Its class; queues and service times are kept by it.
  RequestClass request_class;
  /// Rank by `RuleSet::PriorityOf`, 0 first.
  int level = 5;
  /// Whether a trainer waits for it. Such requests come after all live ones.
  bool is_rollout = false;
  /// How many of the class may wait, by `RuleSet::QueueLengthOf`.
  std::uint32_t queue_length = 256;
};

/// How many requests may run at once.
struct AdmissionCapacity {
  /// All requests.
  std::uint32_t slots = 1;
  /// Requests that trainers wait for; the rest of the slots is the reserve for
  /// live callers.
  std::uint32_t rollout_slots = 1;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_
