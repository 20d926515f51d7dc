#ifndef BRIARSPREAD_CORE_MEMORY_BUDGET_H_
#define BRIARSPREAD_CORE_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace briarspread {

/// What holds reserved bytes.
enum class MemoryHolder {
  /// Callers' connections: their objects, buffers and heads of requests.
  kConnections,
  /// Bodies of callers' requests, until the request has ended.
  kRequests,
  /// Parsed batch submissions, until they are accepted or rejected.
  kSubmissions,
  /// Parts of upstreams' responses, until callers have read them.
  kResponses,
};
inline constexpr std::size_t kMemoryHolders = 4;

/// Returns the name of a holder as used in metrics. Thread-safe.
std::string_view ToString(MemoryHolder holder);

/// How much of the budget a reservation may use.
enum class MemoryPriority {
  /// Large bodies. They leave a part for all others.
  kBulk,
  /// Small requests. They leave a part for peers, the store and running work.
  kOrdinary,
  /// Work that has begun.
  kEssential,
};

/// Limits the sum of the bytes that a process buffers. Not thread-safe.
class MemoryBudget final {
 public:
  /// Precondition: `limit` is above zero.
  explicit MemoryBudget(std::size_t limit)
      : limit_(limit), usage_(std::make_shared<Usage>()) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return usage_->total; }
  std::size_t used(MemoryHolder holder) const {
    return usage_->by_holder[static_cast<std::size_t>(holder)];
  }
  /// Returns the bytes up to which reservations of this priority succeed.
  std::size_t CeilingOf(MemoryPriority priority) const;
  /// Whether work that has begun should buffer as little as it can.
  bool IsTight() const { return used() > limit_ / 2; }

  /// Counts something that was rejected, closed or delayed for want of memory
  /// or connections.
  void CountRefusal(const std::string& cause) { ++refusals_[cause]; }
  /// Refusals by cause.
  const std::map<std::string, std::uint64_t>& refusals() const {
    return refusals_;
  }
  /// Bytes by the holder's name.
  std::map<std::string, std::uint64_t> UsedByHolder() const;

 private:
  friend class MemoryReservation;

  /// Shared with the reservations, because operations that the event loop
  /// still holds may outlive the budget.
  struct Usage {
    std::size_t total = 0;
    std::array<std::size_t, kMemoryHolders> by_holder{};
  };

  bool HasRoom(std::size_t n, MemoryPriority priority) const;

  const std::size_t limit_;
  const std::shared_ptr<Usage> usage_;
  std::map<std::string, std::uint64_t> refusals_;
};

/// Bytes of a budget that one holder has reserved; released with this object.
/// Not thread-safe.
class MemoryReservation final {
 public:
  /// A reservation without a budget has no limit. It may outlive the budget,
  /// but must not grow then.
  explicit MemoryReservation(const MemoryBudget* budget = nullptr,
                             MemoryHolder holder = MemoryHolder::kConnections)
      : budget_(budget),
        usage_(budget == nullptr ? nullptr : budget->usage_),
        holder_(holder) {}
  ~MemoryReservation() { Release(); }
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;

  /// Grows the reservation to `total` bytes unless it has them already. Returns
  /// false, without a change, if the budget has no room for that.
  bool TryGrowTo(std::size_t total, MemoryPriority priority);
  /// Sets the reservation to `total` bytes, beyond the limit if necessary. For
  /// bytes that are held already.
  void Set(std::size_t total);
  void Release() { Set(0); }
  std::size_t bytes() const { return bytes_; }

 private:
  const MemoryBudget* budget_;
  std::shared_ptr<MemoryBudget::Usage> usage_;
  MemoryHolder holder_;
  std::size_t bytes_ = 0;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_MEMORY_BUDGET_H_
