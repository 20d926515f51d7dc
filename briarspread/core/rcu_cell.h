#ifndef BRIARSPREAD_CORE_RCU_CELL_H_
#define BRIARSPREAD_CORE_RCU_CELL_H_

#include <atomic>
#include <cassert>
#include <memory>
#include <mutex>
#include <utility>

namespace briarspread {

/// Enters and leaves a read-copy-update read section. Sections nest. The
/// calling thread is registered on first use and until it ends.
class RcuReadSection {
 public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/// Whether the calling thread is in a read section.
bool IsInRcuReadSection();

/// Waits until every read section that was open at the call has been left.
/// Precondition: the calling thread is in no read section.
void RcuSynchronize();

/// Holds one immutable value that many threads read and few replace.
/// Readers never wait: chosen over a mutex and `atomic<shared_ptr>`, neither of
/// which gained from more threads in the trial that bench/rcu_bench repeats.
template <typename T>
class RcuCell {
 public:
  /// Gives access to the value that was current when the section was entered.
  /// Short-lived: a held guard delays `Publish`.
  class ReadGuard {
   public:
    explicit ReadGuard(const RcuCell& cell)
        : value_(cell.value_.load(std::memory_order_acquire)) {}
    const T& operator*() const { return *value_; }
    const T* operator->() const { return value_; }

   private:
    /// Keeps the value alive; declared first so that it is entered first.
    RcuReadSection section_;
    /// The value read.
    const T* value_;
  };

  /// Holds `value`. Precondition: `value` is not null.
  explicit RcuCell(std::unique_ptr<const T> value) : value_(value.release()) {
    assert(value_.load() != nullptr);
  }
  /// Precondition: no reader is left.
  ~RcuCell() { delete value_.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Reads the current value. Safe from any thread, without waiting.
  ReadGuard Read() const { return ReadGuard(*this); }

  /// Replaces the value and frees the old one once no reader can hold it.
  /// Waits for readers. Precondition: `value` is not null, and the calling
  /// thread holds no guard. Safe from any thread.
  void Publish(std::unique_ptr<const T> value) {
    assert(value != nullptr);
    assert(!IsInRcuReadSection());
    const T* old = nullptr;
    {
      std::lock_guard lock(publish_mutex_);
      old = value_.exchange(value.release(), std::memory_order_acq_rel);
    }
    RcuSynchronize();
    delete old;
  }

 private:
  /// The current value; never null.
  std::atomic<const T*> value_;
  /// Orders writers.
  std::mutex publish_mutex_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RCU_CELL_H_
