#include "briarspread/admission/service_times.h"

namespace briarspread {
namespace {

/// The newest request has a weight of 1 / `kMovingAverageDivisor` in the moving
/// average.
constexpr int kMovingAverageDivisor = 16;

}  // namespace

Duration ServiceTimes::Of(const RequestClass& request_class) const {
  auto it = averages_.find(request_class);
  if (it == averages_.end()) it = averages_.find(RequestClass{});
  return it == averages_.end() ? assumed_ : it->second;
}

void ServiceTimes::Record(const RequestClass& request_class, Duration taken) {
  const bool is_known = averages_.count(request_class) > 0;
  const bool has_room = averages_.size() < kMaxClasses;
  const RequestClass key =
      is_known || has_room ? request_class : RequestClass{};
  const auto [it, is_new] = averages_.try_emplace(key, taken);
  if (!is_new) it->second += (taken - it->second) / kMovingAverageDivisor;
}

}  // namespace briarspread
