#ifndef BRIARSPREAD_RULES_LINE_EDIT_H_
#define BRIARSPREAD_RULES_LINE_EDIT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// The change of one text into another: one span of lines replaced. It can be
/// undone, so a log of edits leads to older texts without old snapshots.
struct LineEdit {
  /// Lines before the span.
  std::size_t at = 0;
  /// The span's lines before.
  std::vector<std::string> removed;
  /// The span's lines after.
  std::vector<std::string> added;

  bool operator==(const LineEdit&) const = default;
};

/// The edit that leads from one text to the other. Lines end with a newline;
/// a last line without one gets it. Thread-safe.
LineEdit EditBetween(std::string_view from, std::string_view to);

/// `text` after the edit, or nothing where the edit was made for another text.
/// Thread-safe.
std::optional<std::string> ApplyEdit(std::string_view text,
                                     const LineEdit& edit);

/// The edit that undoes `edit`. Thread-safe.
LineEdit Undo(const LineEdit& edit);

}  // namespace briarspread

#endif  // BRIARSPREAD_RULES_LINE_EDIT_H_
