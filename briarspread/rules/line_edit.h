#ifndef BRIARSPREAD_RULES_LINE_EDIT_H_
#define BRIARSPREAD_RULES_LINE_EDIT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// Replacement of one contiguous range of lines of a text. An edit is
/// invertible, so older texts can be reconstructed from a log of edits without
/// a snapshot of each.
struct LineEdit {
  /// Index of the first replaced line, counted from 0.
  std::size_t first_line = 0;
  /// The lines of the range before the edit, without line ends.
  std::vector<std::string> removed;
  /// The lines of the range after the edit, without line ends.
  std::vector<std::string> added;

  bool operator==(const LineEdit&) const = default;
};

/// Returns the edit that changes `from` into `to`. Lines end with a newline; a
/// missing newline at the end of a text is not recorded, and `ApplyEdit` adds
/// it. Thread-safe.
LineEdit EditBetween(std::string_view from, std::string_view to);

/// Returns `text` with `edit` applied, or nothing if the lines that the edit
/// removes are not at their place in `text`. Thread-safe.
std::optional<std::string> ApplyEdit(std::string_view text,
                                     const LineEdit& edit);

/// Returns the edit that reverts `edit`. Thread-safe.
LineEdit InverseOf(const LineEdit& edit);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_LINE_EDIT_H_
