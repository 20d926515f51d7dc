#ifndef BRIARSPREAD_CORE_RANDOM_SOURCE_H_
#define BRIARSPREAD_CORE_RANDOM_SOURCE_H_

#include <cassert>
#include <cstdint>
#include <mutex>
#include <random>

namespace briarspread {

/// A source of random numbers, passed in so that tests can fix the seed.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  /// 64 uniformly distributed bits. Safe to call from any thread.
  virtual std::uint64_t Next() = 0;
  /// A number in [0, bound). Precondition: `bound` > 0.
  std::uint64_t Below(std::uint64_t bound) {
    assert(bound > 0);
    return Next() % bound;
  }
  /// A number in [0, 1).
  double Fraction() {
    constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
    return static_cast<double>(Next() >> 11) * kScale;
  }
};

/// A Mersenne Twister with a given seed.
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
  /// The generator's state.
  std::mt19937_64 engine_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RANDOM_SOURCE_H_
