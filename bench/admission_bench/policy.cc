#include "bench/admission_bench/policy.h"

namespace briarspread::bench {

Status FifoPolicy::Offer(std::uint64_t id, const AdmissionRequest& /*request*/,
                         TimePoint /*deadline*/, TimePoint /*now*/) {
  queue_.push_back(id);
  return OkStatus();
}

std::optional<std::uint64_t> FifoPolicy::PopReady(TimePoint /*now*/) {
  if (free_slots_ == 0 || queue_.empty()) return std::nullopt;
  const std::uint64_t id = queue_.front();
  queue_.pop_front();
  --free_slots_;
  return id;
}

std::optional<std::uint64_t> FifoPolicy::PopExpired(TimePoint /*now*/) {
  return std::nullopt;
}

void FifoPolicy::Finish(std::uint64_t /*id*/, TimePoint /*now*/) {
  ++free_slots_;
}

Status AdmissionPolicy::Offer(std::uint64_t id, const AdmissionRequest& request,
                              TimePoint deadline, TimePoint now) {
  const auto result = queue_.Enqueue(request, deadline, now);
  if (!IsOk(result)) return ErrorOf(result);
  const AdmissionTicket ticket = ValueOf(result);
  id_of_ticket_[ticket.value()] = id;
  ticket_of_id_[id] = ticket;
  return OkStatus();
}

std::optional<std::uint64_t> AdmissionPolicy::PopReady(TimePoint now) {
  const auto ticket = queue_.PopReady(now);
  if (!ticket.has_value()) return std::nullopt;
  return id_of_ticket_.at(ticket->value());
}

std::optional<std::uint64_t> AdmissionPolicy::PopExpired(TimePoint now) {
  const auto expired = queue_.PopExpired(now);
  if (!expired.has_value()) return std::nullopt;
  return id_of_ticket_.at(expired->ticket.value());
}

void AdmissionPolicy::Finish(std::uint64_t id, TimePoint now) {
  queue_.Finish(ticket_of_id_.at(id), now);
}

}  // namespace briarspread::bench
