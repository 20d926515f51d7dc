#include "briarspread/proxy/shed_policy.h"

#include <algorithm>

namespace briarspread::proxy {

bool ShedPolicy::IsStalled(const ConnectionLoad& load) const {
  const bool depends_on_caller = load.phase == ConnectionPhase::kReceiving ||
                                 load.phase == ConnectionPhase::kSending;
  return depends_on_caller && load.stalled >= settings_.min_stall;
}

std::optional<std::size_t> ShedPolicy::ChooseForMemory(
    const std::vector<ConnectionLoad>& all) const {
  bool is_due = false;
  std::optional<std::size_t> stalled;
  std::optional<std::size_t> smallest;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const ConnectionLoad& load = all[i];
    if (load.phase == ConnectionPhase::kPaused) {
      is_due = is_due || load.stalled >= settings_.max_pause;
      if (!smallest.has_value() || load.bytes < all[*smallest].bytes) {
        smallest = i;
      }
    } else if (IsStalled(load) && load.bytes >= settings_.min_bytes) {
      if (!stalled.has_value() || load.stalled > all[*stalled].stalled) {
        stalled = i;
      }
    }
  }
  if (!smallest.has_value()) return std::nullopt;
  if (stalled.has_value()) return stalled;
  return is_due ? smallest : std::nullopt;
}

std::vector<std::size_t> ShedPolicy::ChooseForConnections(
    const std::vector<ConnectionLoad>& all, std::size_t n) const {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const ConnectionLoad& load = all[i];
    // A large body that is still arriving is a request in progress.
    const bool is_small_part = load.phase == ConnectionPhase::kReceiving &&
                               load.bytes < settings_.min_bytes;
    if (load.phase == ConnectionPhase::kIdle || is_small_part ||
        IsStalled(load)) {
      chosen.push_back(i);
    }
  }
  std::sort(chosen.begin(), chosen.end(), [&all](std::size_t a, std::size_t b) {
    return all[a].stalled > all[b].stalled;
  });
  chosen.resize(std::min(n, chosen.size()));
  return chosen;
}

}  // namespace briarspread::proxy
