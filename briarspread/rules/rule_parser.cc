#include "briarspread/rules/rule_parser.h"

#include <charconv>
#include <map>
#include <optional>

namespace briarspread {
namespace {

/// One word of a line, with its place.
struct Word {
  std::string text;
  std::size_t column = 0;
};

/// One rule line, split into words.
struct RuleLine {
  std::size_t number = 0;
  std::vector<Word> words;
  std::string who;
};

/// Reads one line's arguments and collects errors.
class LineReader {
 public:
  LineReader(const RuleLine& line, std::vector<RuleError>& errors)
      : line_(line), errors_(errors) {
    for (std::size_t i = 1; i < line.words.size(); ++i) Split(line.words[i]);
  }

  std::string Text(const std::string& name, const std::string& fallback) {
    const auto it = arguments_.find(name);
    if (it == arguments_.end()) return fallback;
    std::string value = it->second.text;
    arguments_.erase(it);
    return value;
  }

  std::string RequiredText(const std::string& name) {
    if (arguments_.contains(name)) return Text(name, "");
    Fail(line_.words[0], name + "=... is required after this kind");
    return "";
  }

  std::optional<double> Number(const std::string& name, double least,
                               double most, const std::string& unit) {
    const auto it = arguments_.find(name);
    if (it == arguments_.end()) return std::nullopt;
    const Word word = it->second;
    arguments_.erase(it);
    std::string_view digits = word.text;
    if (!unit.empty() && digits.ends_with(unit)) {
      digits.remove_suffix(unit.size());
    } else if (!unit.empty()) {
      digits = "";
    }
    double value = 0;
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc() || end != digits.data() + digits.size() ||
        value < least || value > most) {
      Fail(word, "a number from " + Format(least) + " to " + Format(most) +
                     (unit.empty() ? "" : " with the unit " + unit));
      return std::nullopt;
    }
    return value;
  }

  bool YesNo(const std::string& name) {
    const auto it = arguments_.find(name);
    if (it == arguments_.end()) {
      Fail(line_.words[0], name + "=yes or " + name + "=no is required");
      return false;
    }
    const Word word = it->second;
    arguments_.erase(it);
    if (word.text != "yes" && word.text != "no") Fail(word, "yes or no");
    return word.text == "yes";
  }

  /// Refuses the arguments that nobody read.
  void Finish() {
    for (const auto& [name, word] : arguments_) {
      Fail(Word{name, word.column}, "no such argument for this kind");
    }
  }

 private:
  static std::string Format(double number) {
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) text.pop_back();
    return text;
  }

  void Split(const Word& word) {
    const std::size_t equals = word.text.find('=');
    if (equals == std::string::npos || equals == 0 ||
        equals + 1 == word.text.size()) {
      Fail(word, "name=value");
      return;
    }
    const std::string name = word.text.substr(0, equals);
    const Word value{word.text.substr(equals + 1), word.column + equals + 1};
    if (!arguments_.emplace(name, value).second) {
      Fail(word, "each argument once");
    }
  }

  void Fail(const Word& word, const std::string& allowed) {
    errors_.push_back({line_.number, word.column, word.text, allowed});
  }

  /// The line read.
  const RuleLine& line_;
  /// Where errors go.
  std::vector<RuleError>& errors_;
  /// Arguments not yet read, by name.
  std::map<std::string, Word> arguments_;
};

void ReadPriority(LineReader& reader, RuleSet& rules) {
  PriorityRule rule;
  rule.customer = CustomerId(reader.Text("customer", kAny));
  rule.request_class = RequestClass(reader.Text("class", kAny));
  rule.level = static_cast<int>(reader.Number("level", 0, 9, "").value_or(5));
  const double deadline =
      reader.Number("deadline", 1, 3'600'000, "ms").value_or(30000);
  rule.deadline = milliseconds(static_cast<std::int64_t>(deadline));
  rules.priorities.push_back(rule);
}

void ReadIdempotent(LineReader& reader, RuleSet& rules) {
  IdempotencyRule rule;
  rule.service = ServiceName(reader.Text("service", kAny));
  rule.method = reader.Text("method", kAny);
  rule.idempotent = reader.YesNo("value");
  rules.idempotency.push_back(rule);
}

void ReadTrainer(LineReader& reader, RuleSet& rules) {
  TrainerRule rule;
  rule.trainer = TrainerId(reader.Text("name", kAny));
  rule.weight = reader.Number("weight", 0.01, 1000, "").value_or(1.0);
  const auto staleness = reader.Number("staleness", 0, 1000, "");
  if (staleness.has_value()) {
    rule.staleness = static_cast<std::uint64_t>(*staleness);
  }
  rules.trainers.push_back(rule);
}

void ReadDrain(LineReader& reader, RuleSet& rules) {
  rules.drains.push_back({UpstreamId(reader.RequiredText("upstream"))});
}

using Reader = void (*)(LineReader&, RuleSet&);

const std::map<std::string, Reader>& Readers() {
  static const std::map<std::string, Reader> readers = {
      {"priority", &ReadPriority},
      {"idempotent", &ReadIdempotent},
      {"trainer", &ReadTrainer},
      {"drain", &ReadDrain}};
  return readers;
}

std::vector<Word> SplitWords(std::string_view text) {
  std::vector<Word> words;
  std::size_t i = 0;
  while (i < text.size()) {
    if (text[i] == ' ' || text[i] == '\t' || text[i] == '\r') {
      ++i;
      continue;
    }
    const std::size_t start = i;
    while (i < text.size() && text[i] != ' ' && text[i] != '\t' &&
           text[i] != '\r') {
      ++i;
    }
    words.push_back({std::string(text.substr(start, i - start)), start + 1});
  }
  return words;
}

void ParseLine(std::string_view text, std::size_t number, RuleSet& rules,
               std::vector<RuleError>& errors) {
  const std::size_t hash = text.find('#');
  RuleLine line;
  line.number = number;
  line.words = SplitWords(text.substr(0, hash));
  if (line.words.empty()) return;
  const bool has_who = hash != std::string_view::npos &&
                       !SplitWords(text.substr(hash + 1)).empty();
  if (!has_who) {
    errors.push_back({number, text.size() + 1, "end of line",
                      "a comment naming who asked: # name"});
  }
  const auto it = Readers().find(line.words[0].text);
  if (it == Readers().end()) {
    errors.push_back({number, line.words[0].column, line.words[0].text,
                      "priority, idempotent, trainer or drain"});
    return;
  }
  LineReader reader(line, errors);
  it->second(reader, rules);
  reader.Finish();
}

}  // namespace

std::variant<RuleSet, std::vector<RuleError>> ParseRules(
    std::string_view text) {
  RuleSet rules;
  std::vector<RuleError> errors;
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    ParseLine(text.substr(0, end), ++number, rules, errors);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  if (!errors.empty()) return errors;
  return rules;
}

std::string Describe(const RuleError& error) {
  return "line " + std::to_string(error.line) + ", column " +
         std::to_string(error.column) + ": found '" + error.found +
         "', allowed: " + error.allowed;
}

}  // namespace briarspread
