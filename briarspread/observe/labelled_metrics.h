#ifndef BRIARSPREAD_OBSERVE_LABELLED_METRICS_H_
#define BRIARSPREAD_OBSERVE_LABELLED_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarspread/core/rendezvous.h"

namespace briarspread {

/// One metric of type `Metric` for each label, looked up without a lock. Labels
/// come from outside the process, so their number is limited: labels that find
/// no free slot share the label `other`. Thread-safe.
template <typename Metric>
class LabelledMetrics {
 public:
  LabelledMetrics() : other_("other") {}
  ~LabelledMetrics() {
    for (auto& slot : slots_) delete slot.load();
  }
  LabelledMetrics(const LabelledMetrics&) = delete;
  LabelledMetrics& operator=(const LabelledMetrics&) = delete;

  /// Returns the label's metric. Allocates only on the first use of a label.
  Metric& Get(std::string_view label) {
    const std::uint64_t hash = StableHash(label);
    for (std::size_t i = 0; i < kProbes; ++i) {
      std::atomic<Entry*>& slot = slots_[(hash + i) % kSlots];
      Entry* entry = slot.load(std::memory_order_acquire);
      if (entry == nullptr) entry = Insert(slot, label);
      if (entry->label == label) return entry->metric;
    }
    return other_.metric;
  }

  /// Returns all labels and their metrics, in no particular order.
  std::vector<std::pair<std::string, const Metric*>> All() const {
    std::vector<std::pair<std::string, const Metric*>> all;
    for (const auto& slot : slots_) {
      const Entry* entry = slot.load(std::memory_order_acquire);
      if (entry != nullptr) all.emplace_back(entry->label, &entry->metric);
    }
    all.emplace_back(other_.label, &other_.metric);
    return all;
  }

 private:
  static constexpr std::size_t kSlots = 256;
  static constexpr std::size_t kProbes = 16;

  /// A label and its metric. Freed only by the table's destructor.
  struct Entry {
    explicit Entry(std::string_view name) : label(name) {}
    const std::string label;
    Metric metric{};
  };

  /// Inserts a new entry into an empty slot and returns it, or the entry that
  /// another thread inserted first.
  Entry* Insert(std::atomic<Entry*>& slot, std::string_view label) {
    auto* made = new Entry(label);
    Entry* found = nullptr;
    if (slot.compare_exchange_strong(found, made)) return made;
    delete made;
    return found;
  }

  /// Hash table with open addressing.
  std::array<std::atomic<Entry*>, kSlots> slots_{};
  /// Shared by the labels that found no free slot.
  Entry other_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_LABELLED_METRICS_H_
