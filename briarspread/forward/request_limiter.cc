#include "briarspread/forward/request_limiter.h"

#include <glog/logging.h>

namespace briarspread::forward {

std::string_view ToString(RequestPurpose purpose) {
  switch (purpose) {
    case RequestPurpose::kLive:
      return "live";
    case RequestPurpose::kItem:
      return "item";
    case RequestPurpose::kControl:
      return "control";
  }
  return "unknown";
}

void RequestLimiter::RecordResponse(const UpstreamStart& start,
                                    const std::string* named, TimePoint sent) {
  const auto rate = named == nullptr ? std::nullopt : ParseRequestRate(*named);
  if (named != nullptr && !rate.has_value()) {
    LOG(WARNING) << "event=limit_malformed upstream=" << start.id;
    return;
  }
  switch (limits_.RecordResponse(start, rate, sent)) {
    case UpstreamLimits::Change::kNone:
      return;
    case UpstreamLimits::Change::kNamed:
      LOG(INFO) << "event=limit_named upstream=" << start.id
                << " start=" << start.start_id << " per_second=" << *rate;
      return;
    case UpstreamLimits::Change::kEnded:
      LOG(INFO) << "event=limit_ended upstream=" << start.id
                << " start=" << start.start_id;
      return;
  }
}

void RequestLimiter::RecordSend(const UpstreamId& id, RequestPurpose purpose) {
  const auto rate = limits_.Find(id);
  if (!rate.has_value()) return;
  LOG(INFO) << "event=limited_send upstream=" << id
            << " purpose=" << ToString(purpose) << " per_second=" << *rate;
}

}  // namespace briarspread::forward
