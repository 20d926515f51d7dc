#include "standins/fake_engine/engine_state.h"

#include <xxhash.h>

#include <algorithm>
#include <thread>

namespace briarspread::standins {

void EngineState::ReleaseSlot() {
  std::lock_guard lock(mutex_);
  ++free_slots_;
  slot_freed_.notify_all();
}

GeneratedToken EngineState::Generate(std::uint64_t prompt_hash,
                                     std::uint32_t index) {
  std::this_thread::sleep_for(token_time_ + faults().token_delay);
  const std::uint64_t hash =
      XXH3_64bits_withSeed(&index, sizeof(index), prompt_hash);
  GeneratedToken token;
  token.text = " w" + std::to_string(hash % 10000);
  token.weight_version = version();
  return token;
}

bool EngineState::Load(const WeightOrder& order) {
  std::lock_guard lock(mutex_);
  WeightOrder taken = order;
  taken.taken = true;
  if (faults_.check_fencing && order.fencing < highest_fencing_) {
    taken.taken = false;
  }
  if (taken.taken && faults_.failed_swaps > 0) {
    --faults_.failed_swaps;
    taken.taken = false;
  }
  if (taken.taken) {
    highest_fencing_ = std::max(highest_fencing_, order.fencing);
    version_ = order.version;
  }
  orders_.push_back(taken);
  return taken.taken;
}

std::vector<WeightOrder> EngineState::orders() {
  std::lock_guard lock(mutex_);
  return orders_;
}

std::uint64_t EngineState::version() {
  std::lock_guard lock(mutex_);
  return version_;
}

std::uint32_t EngineState::running() {
  std::lock_guard lock(mutex_);
  return slots_ - free_slots_;
}

std::uint32_t EngineState::queued() {
  std::lock_guard lock(mutex_);
  return static_cast<std::uint32_t>(waiting_.size());
}

EngineFaults EngineState::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

void EngineState::SetFaults(const EngineFaults& faults) {
  std::lock_guard lock(mutex_);
  faults_ = faults;
}

std::uint32_t EngineState::ConsumeCut() {
  std::lock_guard lock(mutex_);
  if (faults_.cuts == 0) return 0;
  --faults_.cuts;
  return faults_.cut_after;
}

}  // namespace briarspread::standins
