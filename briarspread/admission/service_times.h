#ifndef BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_
#define BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_

#include <cstddef>
#include <map>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// Moving averages of the service times of requests, by class. The number of
/// classes is limited, because callers choose the class names; classes beyond
/// the limit share one average. Not thread-safe.
class ServiceTimes {
 public:
  /// `assumed` is the service time of a class until its first request has
  /// ended.
  explicit ServiceTimes(Duration assumed) : assumed_(assumed) {}

  /// Returns the average service time of a class.
  Duration Of(const RequestClass& request_class) const;
  /// Updates the average of a class with a request that ran for `taken`.
  void Record(const RequestClass& request_class, Duration taken);

 private:
  static constexpr std::size_t kMaxClasses = 1024;

  /// Service time of classes without an average.
  const Duration assumed_;
  /// Averages by class. The entry of the empty class is the average of the
  /// classes beyond the limit.
  std::map<RequestClass, Duration> averages_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ADMISSION_SERVICE_TIMES_H_
