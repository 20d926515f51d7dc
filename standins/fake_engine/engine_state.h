#ifndef STANDINS_FAKE_ENGINE_ENGINE_STATE_H_
#define STANDINS_FAKE_ENGINE_ENGINE_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"

namespace briarspread::standins {

/// Faults of an engine, switched by `POST /fault`.
struct EngineFaults {
  /// Delay added to each token.
  milliseconds token_delay{0};
  /// Whether new requests are refused with 503.
  bool refuse = false;
  /// Whether a request that holds `crash_text` kills the process.
  std::string crash_text;
  /// Cuts the next streams after this many tokens; 0 for never.
  std::uint32_t cut_after = 0;
  /// Streams still to cut.
  std::uint32_t cuts = 0;
  /// Whether the next weight orders fail.
  std::uint32_t failed_swaps = 0;
  /// Whether orders with an old fencing number are refused.
  bool check_fencing = true;
};

/// What one generated token says of itself.
struct GeneratedToken {
  std::string text;
  std::uint64_t weight_version = 0;
};

/// One order to load weights, as it was taken.
struct WeightOrder {
  std::uint64_t version = 0;
  std::uint64_t fencing = 0;
  std::string holder;
  bool taken = false;
};

/// A model engine's state: slots by priority, weights, faults. Thread-safe.
class EngineState {
 public:
  EngineState(std::uint32_t slots, milliseconds token_time,
              std::uint64_t version)
      : free_slots_(slots),
        slots_(slots),
        token_time_(token_time),
        version_(version) {}

  /// Waits for a slot; the lowest level goes first, then the earliest.
  /// Returns false if `give_up` says so, asked every few milliseconds.
  template <typename GiveUp>
  bool AcquireSlot(int level, const GiveUp& give_up) {
    std::unique_lock lock(mutex_);
    const auto ticket = std::make_pair(level, next_ticket_++);
    waiting_.insert(ticket);
    const auto is_first = [&] {
      return free_slots_ > 0 && *waiting_.begin() == ticket;
    };
    while (!slot_freed_.wait_for(lock, kGiveUpCheck, is_first)) {
      if (!give_up()) continue;
      waiting_.erase(ticket);
      slot_freed_.notify_all();
      return false;
    }
    waiting_.erase(ticket);
    --free_slots_;
    slot_freed_.notify_all();
    return true;
  }
  /// Gives a slot back.
  void ReleaseSlot();

  /// Generates token `index` of a prompt; takes the token time.
  GeneratedToken Generate(std::uint64_t prompt_hash, std::uint32_t index);

  /// Takes a weight order; false where it was refused or failed.
  bool Load(const WeightOrder& order);
  std::vector<WeightOrder> orders();

  std::uint64_t version();
  std::uint32_t running();
  std::uint32_t queued();
  std::uint32_t slots() const { return slots_; }
  EngineFaults faults();
  void SetFaults(const EngineFaults& faults);
  /// Takes one cut, if any is due; returns after how many tokens, or 0.
  std::uint32_t TakeCut();

 private:
  static constexpr milliseconds kGiveUpCheck{20};

  /// Guards all below.
  std::mutex mutex_;
  /// Wakes waiting requests.
  std::condition_variable slot_freed_;
  std::set<std::pair<int, std::uint64_t>> waiting_;
  std::uint64_t next_ticket_ = 0;
  std::uint32_t free_slots_;
  const std::uint32_t slots_;
  const milliseconds token_time_;
  std::uint64_t version_;
  std::uint64_t highest_fencing_ = 0;
  std::vector<WeightOrder> orders_;
  EngineFaults faults_;
};

}  // namespace briarspread::standins

#endif  // STANDINS_FAKE_ENGINE_ENGINE_STATE_H_
