#ifndef BRIARSPREAD_ROUTING_SPLIT_MIX_RANDOM_H_
#define BRIARSPREAD_ROUTING_SPLIT_MIX_RANDOM_H_

#include <atomic>
#include <cstdint>

#include "briarspread/core/random_source.h"

namespace briarspread {

/// Mixes the bits of `n` over all 64 bits with the finalizer of SplitMix64
/// (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
/// 2014).
inline std::uint64_t MixBits(std::uint64_t n) {
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31);
}

/// The SplitMix64 generator with an atomic counter as its state, so that
/// requests can draw random numbers without a lock. Thread-safe.
class SplitMixRandom final : public RandomSource {
 public:
  explicit SplitMixRandom(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() override {
    constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15ULL;
    return MixBits(state_.fetch_add(kGolden, std::memory_order_relaxed));
  }

 private:
  std::atomic<std::uint64_t> state_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_SPLIT_MIX_RANDOM_H_
