#ifndef BRIARSPREAD_ROLLOUT_CURSOR_H_
#define BRIARSPREAD_ROLLOUT_CURSOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarspread/core/ids.h"
#include "briarspread/core/result.h"

namespace briarspread {

/// Maximum number of groups in a step. It limits the text of a cursor, which is
/// sent in a URL, to about 1.5 KB.
inline constexpr std::size_t kMaxGroupsPerStep = 8192;
/// Maximum length of a trainer's name in bytes.
inline constexpr std::size_t kMaxTrainerNameBytes = 128;

/// The delivery state of a trainer's open step. The trainer stores the cursor
/// together with the batch that it was sent with, so the cursor is the only
/// record of deliveries: a pull with the same cursor again means that the reply
/// did not arrive, and a pull with the next cursor means that it did.
struct Cursor {
  /// The trainer that the cursor was made for.
  TrainerId trainer;
  /// The open step.
  StepNumber step;
  /// Number of batches of the step that arrived.
  std::uint32_t batch = 0;
  /// Digest of the step's body. A pull is refused if the step with this number
  /// has a different body.
  std::uint64_t step_digest = 0;
  /// Whether each group of the step arrived, in ascending order of ids.
  std::vector<bool> delivered;

  friend bool operator==(const Cursor&, const Cursor&) = default;
};

/// Encodes cursors as opaque text and decodes them. The text is the base64url
/// encoding of the fields and of a keyed checksum (HMAC-SHA-256, truncated to
/// 16 bytes). Thread-safe.
class CursorCodec {
 public:
  /// `key` must be the same on all instances, so that each of them can decode
  /// the cursors of the others.
  explicit CursorCodec(std::string_view key);

  /// Returns the text of `cursor`. Preconditions: the trainer's name has 1 to
  /// `kMaxTrainerNameBytes` bytes; `delivered` has at most `kMaxGroupsPerStep`
  /// elements.
  std::string Encode(const Cursor& cursor) const;
  /// Returns the cursor encoded in `text`. Returns `kInvalidArgument` if the
  /// text was truncated, changed or encoded with another key.
  Result<Cursor> Decode(std::string_view text) const;

 private:
  std::string Checksum(std::string_view bytes) const;

  /// Key of the checksum, derived from the shared key.
  const std::string key_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROLLOUT_CURSOR_H_
