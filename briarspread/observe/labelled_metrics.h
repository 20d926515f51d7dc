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

/// One metric of type `Metric` for each label, found without a lock. Labels
/// come from outside, so their number is bounded: beyond it, all further ones
/// share the label `other`. Thread-safe.
template <typename Metric>
class LabelledMetrics {
 public:
  LabelledMetrics() : other_("other") {}
  ~LabelledMetrics() {
    for (auto& slot : slots_) delete slot.load();
  }
  LabelledMetrics(const LabelledMetrics&) = delete;
  LabelledMetrics& operator=(const LabelledMetrics&) = delete;

  /// The label's metric; allocates on the label's first use only.
  Metric& Of(std::string_view label) {
    const std::uint64_t hash = StableHash(label);
    for (std::size_t i = 0; i < kProbes; ++i) {
      std::atomic<Entry*>& slot = slots_[(hash + i) % kSlots];
      Entry* entry = slot.load(std::memory_order_acquire);
      if (entry == nullptr) entry = Insert(slot, label);
      if (entry->label == label) return entry->metric;
    }
    return other_.metric;
  }

  /// All labels and their metrics, in no order.
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

  /// A label and its metric. Never freed while the table lives.
  struct Entry {
    explicit Entry(std::string_view name) : label(name) {}
    const std::string label;
    Metric metric{};
  };

  /// Puts a new entry into an empty slot, unless another thread was first.
  Entry* Insert(std::atomic<Entry*>& slot, std::string_view label) {
    auto* made = new Entry(label);
    Entry* found = nullptr;
    if (slot.compare_exchange_strong(found, made)) return made;
    delete made;
    return found;
  }

  /// Open addressing by the label's hash.
  std::array<std::atomic<Entry*>, kSlots> slots_{};
  /// For labels that found no slot.
  Entry other_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_LABELLED_METRICS_H_
