#include "programs/rules/rules_file.h"

#include <algorithm>
#include <charconv>

namespace briarspread {
namespace {

constexpr std::string_view kRevisionLine = "# revision: ";

}  // namespace

RulesFile ReadRulesFile(std::string_view text) {
  RulesFile file;
  file.text = text;
  file.stored_text = text;
  if (!text.starts_with(kRevisionLine)) return file;
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view digits = text.substr(0, end);
  digits.remove_prefix(kRevisionLine.size());
  while (digits.ends_with('\r') || digits.ends_with(' ')) {
    digits.remove_suffix(1);
  }
  std::uint64_t n = 0;
  const char* stop = digits.data() + digits.size();
  const auto [it, ec] = std::from_chars(digits.data(), stop, n);
  if (ec != std::errc() || it != stop) return file;
  file.base = Revision(n);
  file.text = text.substr(end);
  file.stored_text = text.substr(std::min(end + 1, text.size()));
  return file;
}

std::string FormatRulesFile(const RuleText& rules) {
  return std::string(kRevisionLine) + std::to_string(rules.revision.value()) +
         "\n" + rules.text;
}

}  // namespace briarspread
