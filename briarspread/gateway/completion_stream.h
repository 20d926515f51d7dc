#ifndef BRIARSPREAD_GATEWAY_COMPLETION_STREAM_H_
#define BRIARSPREAD_GATEWAY_COMPLETION_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/version_span.h"

namespace briarspread {

/// Parses a stream of server-sent events into completion chunks and accumulates
/// their text and weight versions. Not thread-safe.
class CompletionStream {
 public:
  /// Parses the next bytes of the stream. Returns the events that are complete
  /// with them, unchanged, to be forwarded; buffers a partial event at the end.
  std::string Feed(std::string_view data);

  /// Whether the end marker `[DONE]` was received.
  bool is_whole() const { return whole_; }
  /// Whether an event could not be parsed or a token index was out of sequence.
  bool is_malformed() const { return malformed_; }
  /// The index of the next token, at which a resumed stream must start.
  std::uint32_t next_token() const { return next_token_; }
  /// The text received so far.
  const std::string& text() const { return text_; }
  /// The weight versions that the engine reported, as spans of token indexes.
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// Whether every chunk so far named its weight version.
  bool has_all_versions() const { return has_all_versions_; }
  /// Drops a buffered partial event. Call before the stream is resumed at
  /// another upstream.
  void DropPartialEvent() { partial_.clear(); }

 private:
  void ReadEvent(std::string_view event);

  /// The received part of an incomplete event.
  std::string partial_;
  std::string text_;
  std::vector<VersionSpan> spans_;
  std::uint32_t next_token_ = 0;
  bool whole_ = false;
  bool malformed_ = false;
  bool has_all_versions_ = true;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_COMPLETION_STREAM_H_
