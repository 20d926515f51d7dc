#ifndef BRIARSPREAD_GATEWAY_COMPLETION_STREAM_H_
#define BRIARSPREAD_GATEWAY_COMPLETION_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/version_span.h"

namespace briarspread {

/// Splits a stream of server-sent events into completion chunks and keeps what
/// a whole answer needs. Not thread-safe.
class CompletionStream {
 public:
  /// Takes the next piece of the stream. Returns the complete events in it, as
  /// they came, to be passed on; a partial event is kept.
  std::string Take(std::string_view data);

  /// Whether the end marker arrived.
  bool is_whole() const { return whole_; }
  /// Whether any event could not be read.
  bool is_malformed() const { return malformed_; }
  /// The token that a resumed stream starts with.
  std::uint32_t next_token() const { return next_token_; }
  /// The text so far.
  const std::string& text() const { return text_; }
  /// The versions that the engine reported, by token.
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// Whether every token named its version.
  bool has_all_versions() const { return has_all_versions_; }
  /// Forgets a partial event, before a stream is resumed elsewhere.
  void DropPartialEvent() { partial_.clear(); }

 private:
  void ReadEvent(std::string_view event);

  /// The start of an event whose end has not arrived.
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
