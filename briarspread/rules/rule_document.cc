#include "briarspread/rules/rule_document.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace briarspread {
namespace {

/// Maximum length of the text that an error message quotes, in bytes.
constexpr std::size_t kMaxQuotedBytes = 60;

/// One word of a line.
struct Word {
  /// The characters of the word.
  std::string_view text;
  /// The column of its first byte, counted from 1.
  std::size_t column = 0;
};

bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\r'; }

std::vector<Word> SplitWords(std::string_view text) {
  std::vector<Word> words;
  std::size_t i = 0;
  while (i < text.size()) {
    if (IsSpace(text[i])) {
      ++i;
      continue;
    }
    const std::size_t start = i;
    while (i < text.size() && !IsSpace(text[i])) ++i;
    words.push_back({text.substr(start, i - start), start + 1});
  }
  return words;
}

std::string Trim(std::string_view text) {
  while (!text.empty() && IsSpace(text.front())) text.remove_prefix(1);
  while (!text.empty() && IsSpace(text.back())) text.remove_suffix(1);
  return std::string(text);
}

bool IsContinuation(char c) {
  return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

/// Returns the length in bytes of the UTF-8 character at `text[i]`, or zero if
/// there is no valid one. Control characters other than tab and carriage return
/// count as invalid.
std::size_t CharacterLength(std::string_view text, std::size_t i) {
  const auto lead = static_cast<unsigned char>(text[i]);
  if (lead < 0x20U || lead == 0x7FU) return IsSpace(text[i]) ? 1 : 0;
  if (lead < 0x80U) return 1;
  std::size_t length = 0;
  std::uint32_t code = 0;
  std::uint32_t least = 0;
  if ((lead & 0xE0U) == 0xC0U) {
    length = 2, code = lead & 0x1FU, least = 0x80;
  } else if ((lead & 0xF0U) == 0xE0U) {
    length = 3, code = lead & 0x0FU, least = 0x800;
  } else if ((lead & 0xF8U) == 0xF0U) {
    length = 4, code = lead & 0x07U, least = 0x10000;
  }
  if (length == 0 || i + length > text.size()) return 0;
  for (std::size_t k = 1; k < length; ++k) {
    if (!IsContinuation(text[i + k])) return 0;
    code = code << 6U | (static_cast<unsigned char>(text[i + k]) & 0x3FU);
  }
  const bool surrogate = code >= 0xD800 && code <= 0xDFFF;
  return code < least || code > 0x10FFFF || surrogate ? 0 : length;
}

/// Returns the index of the first byte that does not belong to a valid
/// character, or nothing.
std::optional<std::size_t> FindBadByte(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const std::size_t length = CharacterLength(text, i);
    if (length == 0) return i;
    i += length;
  }
  return std::nullopt;
}

/// Returns a description of a byte that cannot be printed.
std::string DescribeByte(char c) {
  constexpr char kDigits[] = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  return std::string("byte 0x") + kDigits[byte >> 4U] + kDigits[byte & 15U];
}

/// Splits a text into rules, line by line. For one use.
class DocumentReader {
 public:
  explicit DocumentReader(std::vector<RuleError>& errors) : errors_(errors) {}

  RuleDocument Read(std::string_view text) {
    if (text.size() > kMaxRulesBytes) {
      Fail(1, 1, std::to_string(text.size()) + " bytes",
           "at most " + std::to_string(kMaxRulesBytes) + " bytes");
      return {};
    }
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      ++number_;
      ReadLine(text.substr(0, end));
      text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    document_.trailing = std::move(leading_);
    return std::move(document_);
  }

 private:
  void Fail(std::size_t line, std::size_t column, std::string_view found,
            std::string allowed) {
    if (errors_.size() >= kMaxRuleErrors) return;
    errors_.push_back({line, column, std::string(found), std::move(allowed)});
  }

  /// Reports an error and returns false if the line is too long or not text.
  bool ValidateText(std::string_view text) {
    if (text.size() > kMaxRuleLineBytes) {
      Fail(number_, kMaxRuleLineBytes + 1,
           std::to_string(text.size()) + " bytes",
           "at most " + std::to_string(kMaxRuleLineBytes) + " bytes a line");
      return false;
    }
    const auto bad = FindBadByte(text);
    if (!bad.has_value()) return true;
    Fail(number_, *bad + 1, DescribeByte(text[*bad]),
         "UTF-8 text without control characters");
    return false;
  }

  void ReadLine(std::string_view text) {
    if (!ValidateText(text)) return;
    const std::size_t hash = text.find('#');
    const std::vector<Word> words = SplitWords(text.substr(0, hash));
    if (words.empty()) {
      leading_.push_back(Trim(text));
      return;
    }
    if (document_.rules.size() >= kMaxRules) {
      Fail(number_, 1, words[0].text,
           "at most " + std::to_string(kMaxRules) + " rules");
      return;
    }
    RuleLine rule;
    rule.number = number_;
    rule.column = words[0].column;
    rule.kind = words[0].text;
    rule.text = Trim(text);
    rule.leading = std::exchange(leading_, {});
    for (std::size_t i = 1; i < words.size(); ++i) AddArgument(words[i], rule);
    if (hash != std::string_view::npos) rule.who = Trim(text.substr(hash + 1));
    if (rule.who.empty()) {
      Fail(number_, text.size() + 1, "end of line",
           "a comment naming who asked: # name");
    }
    document_.rules.push_back(std::move(rule));
  }

  void AddArgument(const Word& word, RuleLine& rule) {
    const std::size_t equals = word.text.find('=');
    if (equals == std::string_view::npos || equals == 0 ||
        equals + 1 == word.text.size()) {
      Fail(number_, word.column, word.text, "name=value");
      return;
    }
    const std::string name(word.text.substr(0, equals));
    if (rule.Find(name) != nullptr) {
      Fail(number_, word.column, word.text, "each argument once");
      return;
    }
    rule.arguments.push_back({name, std::string(word.text.substr(equals + 1)),
                              word.column + equals + 1});
  }

  /// Receives the errors.
  std::vector<RuleError>& errors_;
  /// Number of the current line, counted from 1.
  std::size_t number_ = 0;
  /// Blank and comment lines since the last rule.
  std::vector<std::string> leading_;
  /// The result so far.
  RuleDocument document_;
};

}  // namespace

std::string Describe(const RuleError& error) {
  std::string found = error.found;
  if (found.size() > kMaxQuotedBytes) {
    std::size_t end = kMaxQuotedBytes;
    while (end > 0 && IsContinuation(found[end])) --end;
    found = found.substr(0, end) + "...";
  }
  return "line " + std::to_string(error.line) + ", column " +
         std::to_string(error.column) + ": found '" + found +
         "', allowed: " + error.allowed;
}

const RuleArgument* RuleLine::Find(std::string_view name) const {
  const auto it = std::find_if(
      arguments.begin(), arguments.end(),
      [&](const RuleArgument& argument) { return argument.name == name; });
  return it == arguments.end() ? nullptr : &*it;
}

RuleDocument ReadDocument(std::string_view text,
                          std::vector<RuleError>& errors) {
  return DocumentReader(errors).Read(text);
}

std::string FormatDocument(const RuleDocument& document) {
  std::string text;
  for (const RuleLine& rule : document.rules) {
    for (const std::string& line : rule.leading) text += line + "\n";
    text += rule.text + "\n";
  }
  for (const std::string& line : document.trailing) text += line + "\n";
  return text;
}

std::string FormatRule(const RuleLine& rule) {
  std::string text = rule.kind;
  for (const RuleArgument& argument : rule.arguments) {
    text += " " + argument.name + "=" + argument.value;
  }
  return text + " # " + rule.who;
}

}  // namespace briarspread
