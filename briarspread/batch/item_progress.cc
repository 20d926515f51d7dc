#include "briarspread/batch/item_progress.h"

#include <algorithm>

#include "briarspread/batch/job.h"

namespace briarspread::batch {

ItemProgress::Outcome ItemProgress::Add(const proxy::StreamEvent& event,
                                        WeightVersion version,
                                        const SoftwareVersion& software) {
  if (!event.id.has_value()) return Outcome::kGap;
  if (has_events() && *event.id <= last_event_id_) return Outcome::kRepeated;
  if (has_events() && *event.id != last_event_id_ + 1) return Outcome::kGap;
  if (text_.size() + event.data.size() >= kMaxItemTextBytes) {
    return Outcome::kOverlong;
  }
  if (has_events()) {
    text_.push_back('\n');
  } else {
    software_ = software;
  }
  text_ += event.data;
  last_event_id_ = *event.id;
  ++events_;
  const auto at = std::lower_bound(versions_.begin(), versions_.end(), version);
  if (at == versions_.end() || *at != version) versions_.insert(at, version);
  return Outcome::kAdded;
}

bool ItemProgress::Fits(WeightVersion oldest, bool wants_single_version) const {
  if (versions_.empty()) return true;
  if (wants_single_version && versions_.size() > 1) return false;
  return versions_.front() >= oldest;
}

}  // namespace briarspread::batch
