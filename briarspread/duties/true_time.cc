#include "briarspread/duties/true_time.h"

#include <glog/logging.h>

#include <algorithm>
#include <vector>

namespace briarspread::duties {
namespace {

/// Returns the median; the mean of the middle two of an even number.
/// Precondition: `values` is not empty.
Duration MedianOf(std::vector<Duration> values) {
  std::sort(values.begin(), values.end());
  const std::size_t n = values.size();
  const Duration low = values[(n - 1) / 2];
  return low + (values[n / 2] - low) / 2;
}

Duration OffsetOf(WallTime wall, TimePoint steady) {
  return wall.time_since_epoch() - steady.time_since_epoch();
}

}  // namespace

TrueTime::TrueTime(const TrueTimeSettings& settings, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      created_at_(clock.NowWithSuspension()),
      own_offset_(CurrentOwnOffset()),
      median_(own_offset_),
      offset_(own_offset_) {}

Duration TrueTime::CurrentOwnOffset() const {
  return OffsetOf(clock_.WallNow(), clock_.NowWithSuspension());
}

void TrueTime::Sample() {
  const TimePoint now = clock_.NowWithSuspension();
  const Duration current = CurrentOwnOffset();
  const bool is_jump =
      std::chrono::abs(current - own_offset_) > settings_.max_drift;
  if (is_jump && !jumped_at_.has_value()) {
    jumped_at_ = now;
    LOG(WARNING) << "event=wall_clock_jumped ms="
                 << std::chrono::duration_cast<milliseconds>(current -
                                                             own_offset_)
                        .count();
  }
  if (!is_jump || now - *jumped_at_ >= settings_.jump_hold) {
    own_offset_ = current;
    jumped_at_.reset();
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.received_at > settings_.reading_validity;
  });
  Update();
}

ClockReading TrueTime::Read() const {
  const Duration now = clock_.NowWithSuspension().time_since_epoch();
  const auto at = [now](Duration offset) {
    return WallTime(std::chrono::floor<WallTime::duration>(now + offset));
  };
  return {at(own_offset_), at(median_),
          static_cast<std::uint32_t>(peers_.size() + 1)};
}

Duration TrueTime::Follow(Duration held, Duration next) const {
  if (std::chrono::abs(next - held) > settings_.max_delay) return next;
  return std::max<Duration>(next, held - settings_.held_decay);
}

void TrueTime::AddReading(const InstanceId& peer, const ClockReading& reading,
                          TimePoint taken_at) {
  const Duration own = OffsetOf(reading.own, taken_at);
  const Duration estimate = OffsetOf(reading.estimate, taken_at);
  const auto [it, is_new] = peers_.try_emplace(peer);
  PeerClock& known = it->second;
  known.own = is_new ? own : Follow(known.own, own);
  known.estimate = is_new ? estimate : Follow(known.estimate, estimate);
  known.clock_count = reading.clock_count;
  known.received_at = clock_.NowWithSuspension();
  Update();
}

void TrueTime::Update() {
  std::vector<Duration> clocks{own_offset_};
  for (const auto& [name, peer] : peers_) clocks.push_back(peer.own);
  clock_count_ = static_cast<std::uint32_t>(clocks.size());
  median_ = MedianOf(std::move(clocks));
  offset_ = median_;
  for (const auto& [name, peer] : peers_) {
    if (peer.clock_count <= clock_count_) continue;
    clock_count_ = peer.clock_count;
    offset_ = peer.estimate;
  }
}

bool TrueTime::is_settled() const {
  return clock_count_ >= settings_.settled_clock_count ||
         clock_.NowWithSuspension() - created_at_ >= settings_.settle_time;
}

WallTime TrueTime::At(TimePoint time) const {
  return WallTime(std::chrono::floor<WallTime::duration>(
      time.time_since_epoch() + offset_));
}

}  // namespace briarspread::duties
