#ifndef BRIARSPREAD_BATCH_ITEM_PROGRESS_H_
#define BRIARSPREAD_BATCH_ITEM_PROGRESS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/proxy/event_stream_reader.h"

namespace briarspread::batch {

/// The text of an item so far. Not thread-safe.
class ItemProgress final {
 public:
  /// What an event did to the text.
  enum class Outcome {
    kAdded,
    /// The text has it already.
    kRepeated,
    /// An event before it is missing: the run cannot be used.
    kGap,
  };

  ItemProgress() = default;
  /// Text made elsewhere. Precondition: `versions` ascend, each once.
  ItemProgress(std::string text, std::uint64_t events,
               std::uint64_t last_event_id, std::vector<WeightVersion> versions)
      : text_(std::move(text)),
        events_(events),
        last_event_id_(last_event_id),
        versions_(std::move(versions)) {}

  /// Takes an event that `version` made.
  Outcome Add(const proxy::StreamEvent& event, WeightVersion version);

  /// The text after the first `offset` bytes.
  std::string TextFrom(std::size_t offset) const {
    return text_.substr(offset);
  }

  bool has_events() const { return events_ > 0; }
  std::uint64_t events() const { return events_; }
  std::uint64_t last_event_id() const { return last_event_id_; }
  const std::string& text() const { return text_; }
  /// The versions that made its events, ascending, each once.
  const std::vector<WeightVersion>& versions() const { return versions_; }
  /// Whether all was made by `oldest` or newer, and by one version where that
  /// is wanted.
  bool Fits(WeightVersion oldest, bool wants_single_version) const;

 private:
  std::string text_;
  std::uint64_t events_ = 0;
  std::uint64_t last_event_id_ = 0;
  std::vector<WeightVersion> versions_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ITEM_PROGRESS_H_
