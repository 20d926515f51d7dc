#ifndef BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_
#define BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_

#include <cstdint>

#include "briarspread/core/ids.h"

namespace briarspread {

/// Identifies a request in an `AdmissionQueue` after `Enqueue`.
using AdmissionTicket = StrongValue<struct AdmissionTicketTag, std::uint64_t>;

/// The properties of a request that admission uses.
struct AdmissionRequest {
  /// Class of the request. Queue limits and service times are kept per class.
  RequestClass request_class;
  /// Priority level, from `RuleSet::PriorityOf`; lower levels run first.
  int level = 5;
  /// Whether a trainer waits for the request. Such requests run after all live
  /// requests.
  bool is_rollout = false;
  /// Maximum number of waiting requests of the class, from
  /// `RuleSet::QueueLengthOf`.
  std::uint32_t queue_length = 256;
};

/// How many requests may run at the same time.
struct AdmissionCapacity {
  /// Maximum number of requests.
  std::uint32_t slots = 1;
  /// Maximum number of rollouts. The remaining slots are the reserve for live
  /// callers.
  std::uint32_t rollout_slots = 1;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_REQUEST_H_
