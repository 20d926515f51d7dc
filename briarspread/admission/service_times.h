#ifndef BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_
#define BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_

#include <cstddef>
#include <map>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Moving averages of how long requests of each class run. Bounded: classes
/// come from callers, so those beyond the bound share one average. Not
/// thread-safe.
class ServiceTimes {
 public:
  /// `assumed` stands for a class of which no request has ended.
  explicit ServiceTimes(Duration assumed) : assumed_(assumed) {}

  /// How long a request of the class runs on average.
  Duration Of(const RequestClass& request_class) const;
  /// Adds one request that ran for `taken`.
  void Record(const RequestClass& request_class, Duration taken);

 private:
  static constexpr std::size_t kMaxClasses = 1024;

  /// For classes not yet seen.
  const Duration assumed_;
  /// By class; the empty class holds those beyond the bound.
  std::map<RequestClass, Duration> averages_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_
