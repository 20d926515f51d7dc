#include "briarspread/admission/admission_gate.h"

#include <cassert>
#include <utility>

namespace briarspread {
namespace {

/// Retry delay for callers that are refused because of a shutdown; they are
/// expected to reach another instance.
constexpr milliseconds kRetryAfterClose{1000};

Error ClosedError() {
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "the instance is shutting down", kRetryAfterClose};
}

}  // namespace

Permit::Permit(Permit&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)), ticket_(other.ticket_) {}

Permit& Permit::operator=(Permit&& other) noexcept {
  if (this != &other) {
    Release();
    gate_ = std::exchange(other.gate_, nullptr);
    ticket_ = other.ticket_;
  }
  return *this;
}

Permit::~Permit() { Release(); }

void Permit::Release() {
  if (gate_ != nullptr) gate_->Finish(ticket_);
  gate_ = nullptr;
}

AdmissionGate::AdmissionGate(const AdmissionQueueSettings& settings,
                             const AdmissionCapacity& capacity,
                             const Clock& clock)
    : clock_(clock), queue_(settings, capacity) {}

AdmissionGate::~AdmissionGate() {
  assert(waiters_.empty());
  assert(queue_.running() == 0);
}

Result<Permit> AdmissionGate::Enter(const AdmissionRequest& request,
                                    TimePoint deadline) {
  std::unique_lock lock(mutex_);
  if (is_closed_) return ClosedError();
  const auto enqueued = queue_.Enqueue(request, deadline, clock_.Now());
  if (!IsOk(enqueued)) return ErrorOf(enqueued);
  const AdmissionTicket ticket = ValueOf(enqueued);
  Waiter waiter;
  waiters_[ticket] = &waiter;
  ApplyDecisions();
  while (!waiter.is_ready && !waiter.refusal.has_value()) {
    // Each waiting thread wakes at the next expiry of any request, so that the
    // gate needs no thread of its own.
    const TimePoint wake = queue_.NextExpiry().value_or(deadline);
    waiter.decided.wait_for(lock, wake - clock_.Now());
    ApplyDecisions();
  }
  if (waiter.refusal.has_value()) return *waiter.refusal;
  return Permit(*this, ticket);
}

void AdmissionGate::ApplyDecisions() {
  const TimePoint now = clock_.Now();
  const auto take_waiter = [this](AdmissionTicket ticket) {
    const auto it = waiters_.find(ticket);
    Waiter* waiter = it->second;
    waiters_.erase(it);
    waiter->decided.notify_one();
    return waiter;
  };
  while (const auto ready = queue_.PopReady(now)) {
    take_waiter(*ready)->is_ready = true;
  }
  while (const auto expired = queue_.PopExpired(now)) {
    take_waiter(expired->ticket)->refusal = expired->error;
  }
}

void AdmissionGate::Finish(AdmissionTicket ticket) {
  std::lock_guard lock(mutex_);
  queue_.Finish(ticket, clock_.Now());
  ApplyDecisions();
}

void AdmissionGate::SetCapacity(const AdmissionCapacity& capacity) {
  std::lock_guard lock(mutex_);
  queue_.SetCapacity(capacity);
  ApplyDecisions();
}

void AdmissionGate::Close() {
  std::lock_guard lock(mutex_);
  is_closed_ = true;
  for (const auto& [ticket, waiter] : waiters_) {
    queue_.Remove(ticket);
    waiter->refusal = ClosedError();
    waiter->decided.notify_one();
  }
  waiters_.clear();
}

std::size_t AdmissionGate::queued() const {
  std::lock_guard lock(mutex_);
  return queue_.queued();
}

std::size_t AdmissionGate::running() const {
  std::lock_guard lock(mutex_);
  return queue_.running();
}

}  // namespace briarspread
