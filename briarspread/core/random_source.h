#ifndef BRIARSPREAD_CORE_RANDOM_SOURCE_H_
#define BRIARSPREAD_CORE_RANDOM_SOURCE_H_

#include <cassert>
#include <cstdint>
#include <mutex>
#include <random>

namespace briarspread {

/// Source of random numbers. Passed in so that tests can fix the seed.
/// Implementations are thread-safe.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  /// Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;
  /// Returns a number in [0, bound). Precondition: `bound` > 0.
  std::uint64_t Below(std::uint64_t bound) {
    assert(bound > 0);
    return Next() % bound;
  }
  /// Returns a number in [0, 1).
  double Fraction() {
    constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
    return static_cast<double>(Next() >> 11) * kScale;
  }
};

/// Mersenne Twister with a given seed.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t Next() override {
    std::lock_guard lock(mutex_);
    return engine_();
  }

 private:
  /// Guards `engine_`.
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RANDOM_SOURCE_H_
