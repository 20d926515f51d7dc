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

/// Injected faults of an engine, set by `POST /fault`.
struct EngineFaults {
  /// Delay added to each token.
  milliseconds token_delay{0};
  /// Whether new requests are refused with 503.
  bool refuse = false;
  /// A request whose prompt contains this text ends the process at once. Empty:
  /// no request does.
  std::string crash_text;
  /// Number of tokens after which a stream is aborted; 0 means that no stream
  /// is aborted.
  std::uint32_t cut_after = 0;
  /// Number of streams that are still to be aborted.
  std::uint32_t cuts = 0;
  /// Number of weight orders that are still to fail.
  std::uint32_t failed_swaps = 0;
  /// Whether weight orders are refused whose fencing number is lower than the
  /// highest one accepted.
  bool check_fencing = true;
};

/// A generated token and the weight version that produced it.
struct GeneratedToken {
  std::string text;
  std::uint64_t weight_version = 0;
};

/// A received order to load a weight version.
struct WeightOrder {
  std::uint64_t version = 0;
  std::uint64_t fencing = 0;
  std::string holder;
  /// Whether the engine accepted the order.
  bool taken = false;
};

/// State of a model engine: slots granted by priority, the loaded weight
/// version and injected faults. Thread-safe.
class EngineState {
 public:
  EngineState(std::uint32_t slots, milliseconds token_time,
              std::uint64_t version)
      : free_slots_(slots),
        slots_(slots),
        token_time_(token_time),
        version_(version) {}

  /// Waits for a free slot. Requests with the lowest level are served first,
  /// and requests of equal level in order of arrival. While it waits,
  /// `is_cancelled` is called every `kCancelCheckInterval`, with the state's
  /// lock held. Returns false without a slot if `is_cancelled` returns true.
  template <typename IsCancelled>
  bool AcquireSlot(int level, const IsCancelled& is_cancelled) {
    std::unique_lock lock(mutex_);
    const auto ticket = std::make_pair(level, next_ticket_++);
    waiting_.insert(ticket);
    const auto is_first = [&] {
      return free_slots_ > 0 && *waiting_.begin() == ticket;
    };
    while (!slot_freed_.wait_for(lock, kCancelCheckInterval, is_first)) {
      if (!is_cancelled()) continue;
      waiting_.erase(ticket);
      slot_freed_.notify_all();
      return false;
    }
    waiting_.erase(ticket);
    --free_slots_;
    slot_freed_.notify_all();
    return true;
  }
  /// Releases a slot that was acquired by `AcquireSlot`.
  void ReleaseSlot();

  /// Generates token `index` of a prompt. Blocks for the token time plus the
  /// injected token delay.
  GeneratedToken Generate(std::uint64_t prompt_hash, std::uint32_t index);

  /// Executes a weight order and records it. Returns false if the order was
  /// refused by its fencing number or failed by an injected fault.
  bool Load(const WeightOrder& order);
  /// Returns all weight orders received, in order of arrival.
  std::vector<WeightOrder> orders();

  std::uint64_t version();
  std::uint32_t running();
  std::uint32_t queued();
  std::uint32_t slots() const { return slots_; }
  EngineFaults faults();
  void SetFaults(const EngineFaults& faults);
  /// Returns the number of tokens after which the next stream must be aborted,
  /// and decrements the number of streams still to be aborted. Returns 0 if the
  /// stream is not to be aborted.
  std::uint32_t ConsumeCut();

 private:
  static constexpr milliseconds kCancelCheckInterval{20};

  /// Guards the members below.
  std::mutex mutex_;
  /// Notified when a slot or a place in the queue has become free.
  std::condition_variable slot_freed_;
  /// Level and ticket number of each request that waits for a slot.
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
