#ifndef BRIARSPREAD_ROLLOUT_CURSOR_H_
#define BRIARSPREAD_ROLLOUT_CURSOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// The most groups a step may have; bounds a cursor's text, which travels in a
/// URL, to about 1.5 KB.
inline constexpr std::size_t kMaxGroupsPerStep = 8192;
/// The longest name of a trainer, in bytes.
inline constexpr std::size_t kMaxTrainerNameBytes = 128;

/// What a trainer holds of its open step. The trainer stores it together with
/// the batch that came with it, so it is the only delivery record: asking with
/// a cursor again means that its reply did not arrive, and asking with the
/// next one means that it did.
struct Cursor {
  /// Whose it is.
  TrainerId trainer;
  /// The open step.
  StepNumber step;
  /// Batches of the step that arrived.
  std::uint32_t batch = 0;
  /// The digest of the step's body, so that no other body takes its place.
  std::uint64_t step_digest = 0;
  /// For each group of the step, in ascending order of ids, whether it arrived.
  std::vector<bool> delivered;

  friend bool operator==(const Cursor&, const Cursor&) = default;
};

/// Turns cursors into opaque text and back. The text is base64url of the fields
/// and a keyed checksum (HMAC-SHA-256, cut to 16 bytes). Thread-safe.
class CursorCodec {
 public:
  /// `key` is shared by all instances, so that any can read any cursor.
  explicit CursorCodec(std::string_view key);

  /// The text of `cursor`. Preconditions: the trainer's name has 1 to
  /// `kMaxTrainerNameBytes` bytes; at most `kMaxGroupsPerStep` groups.
  std::string Encode(const Cursor& cursor) const;
  /// The cursor in `text`. `kInvalidArgument` where the text was cut, changed
  /// or made with another key.
  Result<Cursor> Decode(std::string_view text) const;

 private:
  std::string Checksum(std::string_view bytes) const;

  /// Key of the checksum, separated from other uses of the shared key.
  const std::string key_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_CURSOR_H_
