#include "briarspread/rules/line_edit.h"

#include <algorithm>

namespace briarspread {
namespace {

using Lines = std::vector<std::string_view>;

Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

}  // namespace

LineEdit EditBetween(std::string_view from, std::string_view to) {
  const Lines before = SplitLines(from);
  const Lines after = SplitLines(to);
  const std::size_t shorter = std::min(before.size(), after.size());
  std::size_t head = 0;
  while (head < shorter && before[head] == after[head]) ++head;
  std::size_t tail = 0;
  while (tail < shorter - head &&
         before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
    ++tail;
  }
  LineEdit edit;
  edit.first_line = head;
  for (std::size_t i = head; i < before.size() - tail; ++i) {
    edit.removed.emplace_back(before[i]);
  }
  for (std::size_t i = head; i < after.size() - tail; ++i) {
    edit.added.emplace_back(after[i]);
  }
  return edit;
}

std::optional<std::string> ApplyEdit(std::string_view text,
                                     const LineEdit& edit) {
  const Lines lines = SplitLines(text);
  if (edit.first_line > lines.size() ||
      edit.removed.size() > lines.size() - edit.first_line) {
    return std::nullopt;
  }
  const auto span =
      lines.begin() + static_cast<std::ptrdiff_t>(edit.first_line);
  if (!std::equal(edit.removed.begin(), edit.removed.end(), span)) {
    return std::nullopt;
  }
  std::string edited;
  edited.reserve(text.size());
  for (std::size_t i = 0; i < edit.first_line; ++i) {
    edited.append(lines[i]).push_back('\n');
  }
  for (const std::string& line : edit.added) {
    edited.append(line).push_back('\n');
  }
  for (std::size_t i = edit.first_line + edit.removed.size(); i < lines.size();
       ++i) {
    edited.append(lines[i]).push_back('\n');
  }
  return edited;
}

LineEdit InverseOf(const LineEdit& edit) {
  return LineEdit{edit.first_line, edit.added, edit.removed};
}

}  // namespace briarspread
