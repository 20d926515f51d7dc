#include "briarspread/core/memory_budget.h"

#include <cassert>
#include <utility>

namespace briarspread {

std::string_view ToString(MemoryHolder holder) {
  switch (holder) {
    case MemoryHolder::kConnections:
      return "connections";
    case MemoryHolder::kRequests:
      return "requests";
    case MemoryHolder::kSubmissions:
      return "submissions";
    case MemoryHolder::kResponses:
      return "responses";
  }
  return "unknown";
}

std::size_t MemoryBudget::CeilingOf(MemoryPriority priority) const {
  switch (priority) {
    case MemoryPriority::kBulk:
      return limit_ / 4 * 3;
    case MemoryPriority::kOrdinary:
      return limit_ / 8 * 7;
    case MemoryPriority::kEssential:
      return limit_;
  }
  return limit_;
}

std::map<std::string, std::uint64_t> MemoryBudget::UsedByHolder() const {
  std::map<std::string, std::uint64_t> used;
  for (std::size_t i = 0; i < kMemoryHolders; ++i) {
    used[std::string(ToString(static_cast<MemoryHolder>(i)))] =
        usage_->by_holder[i];
  }
  return used;
}

bool MemoryBudget::HasRoom(std::size_t n, MemoryPriority priority) const {
  const std::size_t ceiling = CeilingOf(priority);
  return used() <= ceiling && n <= ceiling - used();
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(other.budget_),
      usage_(std::move(other.usage_)),
      holder_(other.holder_),
      bytes_(std::exchange(other.bytes_, 0)) {
  other.budget_ = nullptr;
}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = other.budget_;
  usage_ = std::move(other.usage_);
  holder_ = other.holder_;
  bytes_ = std::exchange(other.bytes_, 0);
  other.budget_ = nullptr;
  return *this;
}

bool MemoryReservation::TryGrowTo(std::size_t total, MemoryPriority priority) {
  if (total <= bytes_) return true;
  if (budget_ != nullptr && !budget_->HasRoom(total - bytes_, priority)) {
    return false;
  }
  Set(total);
  return true;
}

void MemoryReservation::Set(std::size_t total) {
  if (usage_ != nullptr) {
    std::size_t& held = usage_->by_holder[static_cast<std::size_t>(holder_)];
    assert(held >= bytes_);
    held = held - bytes_ + total;
    usage_->total = usage_->total - bytes_ + total;
  }
  bytes_ = total;
}

}  // namespace briarspread
