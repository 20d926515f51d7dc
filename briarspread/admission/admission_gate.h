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

/// Permission to run one request. Frees the slot of the request when destroyed.
/// Movable. Not thread-safe.
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

  /// The gate that issued the permit; null in a moved-from object.
  AdmissionGate* gate_;
  /// Ticket of the running request.
  AdmissionTicket ticket_;
};

/// Thread-safe wrapper of an `AdmissionQueue`, in which threads wait until
/// their requests are admitted. Uses one mutex, which is not held while a
/// thread waits or a request runs.
class AdmissionGate {
 public:
  /// Precondition: `clock` outlives this object and advances in real time while
  /// threads wait.
  AdmissionGate(const AdmissionQueueSettings& settings,
                const AdmissionCapacity& capacity, const Clock& clock);
  /// Precondition: no thread waits in `Enter` and no permit exists.
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  /// Blocks until the request may run, and returns its permit. Refuses the
  /// request immediately if the expected wait is too long for its deadline, or
  /// later when the deadline can no longer be met. Returns the errors of
  /// `AdmissionQueue::Enqueue`, and `kUnavailable` after `Close`.
  Result<Permit> Enter(const AdmissionRequest& request, TimePoint deadline);
  /// Sets how many requests may run at the same time.
  void SetCapacity(const AdmissionCapacity& capacity);
  /// Refuses all waiting and all later requests. Called on shutdown. Running
  /// requests continue.
  void Close();
  /// Number of requests that wait.
  std::size_t queued() const;
  /// Number of requests that run.
  std::size_t running() const;

 private:
  friend class Permit;
  /// State of a thread that waits in `Enter`.
  struct Waiter {
    std::condition_variable decided;
    bool is_ready = false;
    std::optional<Error> refusal;
  };

  void Finish(AdmissionTicket ticket);
  void ApplyDecisions();

  const Clock& clock_;
  /// Guards the members below.
  mutable std::mutex mutex_;
  AdmissionQueue queue_;
  /// Waiting threads by the tickets of their requests.
  std::map<AdmissionTicket, Waiter*> waiters_;
  /// Whether `Close` was called.
  bool is_closed_ = false;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_ADMISSION_GATE_H_
