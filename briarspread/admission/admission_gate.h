#ifndef BRIARSPREAD_ADMISSION_ADMISSION_GATE_H_
#define BRIARSPREAD_ADMISSION_ADMISSION_GATE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "briarspread/admission/admission_queue.h"
#include "briarspread/core/clock.h"
#include "briarspread/core/result.h"

namespace briarspread {

class AdmissionGate;

/// The right to run one request; gives its slot back when destroyed. Movable.
/// One thread at a time.
class Permit {
 public:
  Permit(Permit&& other) noexcept;
  Permit& operator=(Permit&& other) noexcept;
  ~Permit();

 private:
  friend class AdmissionGate;
  Permit(AdmissionGate& gate, AdmissionTicket ticket)
      : gate_(&gate), ticket_(ticket) {}
  void Release();

  /// The gate; null once moved from.
  AdmissionGate* gate_;
  /// The running request.
  AdmissionTicket ticket_;
};

/// An `AdmissionQueue` for threads that wait. Thread-safe; one lock, held for
/// the queue's own work only.
class AdmissionGate {
 public:
  /// Precondition: `clock` outlives this object and moves with real time while
  /// threads wait.
  AdmissionGate(const AdmissionQueueSettings& settings,
                const AdmissionCapacity& capacity, const Clock& clock);
  /// Precondition: no thread waits and no permit is left.
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  /// Waits until the request may run, or refuses it: at once where the wait is
  /// known to be too long, else as soon as that is seen. Errors as
  /// `AdmissionQueue::Enqueue`; `kUnavailable` after `Close`.
  Result<Permit> Enter(const AdmissionRequest& request, TimePoint deadline);
  /// Sets how many requests may run.
  void SetCapacity(const AdmissionCapacity& capacity);
  /// Refuses all waiting and later requests; for a shutdown.
  void Close();
  /// Requests waiting.
  std::size_t queued() const;
  /// Requests running.
  std::size_t running() const;

 private:
  friend class Permit;
  /// A thread in `Enter`.
  struct Waiter {
    std::condition_variable decided;
    bool is_ready = false;
    std::optional<Error> refusal;
  };

  void Finish(AdmissionTicket ticket);
  void Decide();

  const Clock& clock_;
  /// Guards the members below.
  mutable std::mutex mutex_;
  /// Decides.
  AdmissionQueue queue_;
  /// Waiting threads by ticket.
  std::map<AdmissionTicket, Waiter*> waiters_;
  /// Whether all requests are refused.
  bool is_closed_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_GATE_H_
