#include "briarspread/rollout/share_policy.h"

#include <algorithm>
#include <cassert>

namespace briarspread {
namespace {

double Seconds(Duration duration) { return SecondsOf(duration); }

template <typename Less>
std::size_t IndexOfMin(std::span<const ShareClaim> claims, const Less& less) {
  const auto it = std::min_element(claims.begin(), claims.end(), less);
  return static_cast<std::size_t>(it - claims.begin());
}

}  // namespace

std::optional<std::size_t> SharePolicy::Choose(
    std::span<const ShareClaim> claims, std::size_t slots) const {
  if (claims.empty()) return std::nullopt;
  switch (settings_.mode) {
    case ShareMode::kFirstCome:
      return IndexOfMin(claims, [](const auto& a, const auto& b) {
        return a.submitted < b.submitted;
      });
    case ShareMode::kRoundRobin:
      return IndexOfMin(claims, [](const auto& a, const auto& b) {
        return a.last_served < b.last_served;
      });
    case ShareMode::kByNeed:
      break;
  }
  return ChooseByNeed(claims, slots);
}

std::size_t SharePolicy::ChooseByNeed(std::span<const ShareClaim> claims,
                                      std::size_t slots) const {
  double weights = 0;
  for (const ShareClaim& claim : claims) weights += claim.weight;
  assert(weights > 0);
  const double floor = settings_.floor_share * static_cast<double>(slots);
  std::optional<std::size_t> chosen;
  double highest = 0;
  bool is_chosen_below = false;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const ShareClaim& claim = claims[i];
    // Urgency is the number of slots that the step needs to be finished in time
    // relative to the number that the trainer uses.
    const double left = std::max(Seconds(claim.until_need),
                                 Seconds(settings_.min_time_to_need));
    const double need = Seconds(claim.work) / left;
    const double urgency =
        claim.weight * need / static_cast<double>(claim.running + 1);
    const bool is_below =
        static_cast<double>(claim.running) < floor * claim.weight / weights;
    const bool is_better =
        is_below == is_chosen_below ? urgency > highest : is_below;
    if (chosen.has_value() && !is_better) continue;
    chosen = i;
    highest = urgency;
    is_chosen_below = is_below;
  }
  return *chosen;
}

}  // namespace briarspread
