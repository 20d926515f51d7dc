#include "briarspread/core/rcu_cell.h"

#include <urcu/urcu-memb.h>

namespace briarspread {
namespace {

/// Registers the thread with the RCU library until the thread exits.
class ThreadRegistration {
 public:
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

void EnsureRegistered() { static thread_local ThreadRegistration registration; }

}  // namespace

RcuReadSection::RcuReadSection() {
  EnsureRegistered();
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection() { urcu_memb_read_unlock(); }

bool IsInRcuReadSection() {
  EnsureRegistered();
  return urcu_memb_read_ongoing() != 0;
}

void RcuSynchronize() {
  EnsureRegistered();
  urcu_memb_synchronize_rcu();
}

}  // namespace briarspread
