#ifndef BRIARSPREAD_CORE_RCU_CELL_H_
#define BRIARSPREAD_CORE_RCU_CELL_H_

#include <atomic>
#include <cassert>
#include <memory>
#include <mutex>
#include <utility>

namespace briarspread {

/// RAII guard of a read-copy-update (RCU) read-side critical section. Sections
/// may be nested. The calling thread is registered with the RCU library on
/// first use until it exits.
class RcuReadSection {
 public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/// Returns whether the calling thread is in a read section.
bool IsInRcuReadSection();

/// Blocks until every read section that was open at the time of the call has
/// been left. Precondition: the calling thread is in no read section.
void RcuSynchronize();

/// Holds one immutable value that many threads read and few replace. Readers
/// never block. Used in place of a mutex or `atomic<shared_ptr>` because
/// neither scales with the number of reading threads; bench/rcu_bench measures
/// this.
template <typename T>
class RcuCell {
 public:
  /// Gives access to the value that was current when the guard was created.
  /// Must be short-lived, because an existing guard blocks `Publish`.
  class ReadGuard {
   public:
    explicit ReadGuard(const RcuCell& cell)
        : value_(cell.value_.load(std::memory_order_acquire)) {}
    const T& operator*() const { return *value_; }
    const T* operator->() const { return value_; }

   private:
    /// Keeps the value alive. Declared first so that the section is entered
    /// before the value is read.
    RcuReadSection section_;
    const T* value_;
  };

  /// Precondition: `value` is not null.
  explicit RcuCell(std::unique_ptr<const T> value) : value_(value.release()) {
    assert(value_.load() != nullptr);
  }
  /// Precondition: no `ReadGuard` of this cell exists.
  ~RcuCell() { delete value_.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Returns a guard of the current value. Thread-safe; never blocks.
  ReadGuard Read() const { return ReadGuard(*this); }

  /// Replaces the value, blocks until no reader uses the old one, and deletes
  /// it. Precondition: `value` is not null, and the calling thread holds no
  /// guard. Thread-safe.
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
  /// Serializes writers.
  std::mutex publish_mutex_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RCU_CELL_H_
