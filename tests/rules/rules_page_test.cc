// Checks the operators' page and the example files against the parser.

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "briarspread/rules/rule_parser.h"
#include "briarspread/rules/rule_schema.h"

namespace briarspread {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream in(std::string(BRIARSPREAD_SOURCE_DIR) + "/" + path);
  REQUIRE(in);
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

/// The section of the page about one kind of rule.
struct PageSection {
  /// The rows of the section's table, by argument.
  std::map<std::string, std::string> rows;
  /// The example lines of the section.
  std::vector<std::string> examples;
};

/// Returns the sections of the page by kind; text outside of them has the key
/// "".
std::map<std::string, PageSection> ReadPage() {
  std::map<std::string, PageSection> sections;
  std::istringstream page(ReadFile("docs/RULES.md"));
  std::string kind;
  std::string line;
  bool in_example = false;
  while (std::getline(page, line)) {
    if (line.starts_with("### `")) {
      kind = line.substr(5, line.rfind('`') - 5);
    } else if (line.starts_with("## ")) {
      kind = "";
    } else if (line.starts_with("```")) {
      in_example = line == "```rules";
    } else if (in_example) {
      sections[kind].examples.push_back(line);
    } else if (line.starts_with("| `")) {
      const std::string name = line.substr(3, line.find('`', 3) - 3);
      sections[kind].rows[name] = line;
    }
  }
  return sections;
}

TEST_CASE("each example on the operators' page parses") {
  for (const auto& [kind, section] : ReadPage()) {
    for (const std::string& example : section.examples) {
      INFO(example);
      const auto parsed = ParseDocument(example + "\n");
      REQUIRE(std::holds_alternative<RuleDocument>(parsed));
      if (kind.empty()) continue;
      REQUIRE(std::get<RuleDocument>(parsed).rules.at(0).kind == kind);
    }
  }
}

TEST_CASE("the page documents each kind and argument of the parser") {
  const auto page = ReadPage();
  for (const KindSpec& kind : RuleKinds()) {
    INFO(kind.name);
    REQUIRE(page.contains(kind.name));
    const PageSection& section = page.at(kind.name);
    REQUIRE_FALSE(section.examples.empty());
    REQUIRE(section.rows.size() == kind.arguments.size());
    for (const ArgumentSpec& spec : kind.arguments) {
      INFO(spec.name);
      REQUIRE(section.rows.contains(spec.name));
      const std::string& row = section.rows.at(spec.name);
      const std::string fallback =
          spec.is_required ? "required" : spec.fallback;
      REQUIRE(row.find(fallback) != std::string::npos);
      REQUIRE(row.find(spec.unit) != std::string::npos);
      for (const std::string& choice : spec.choices) {
        REQUIRE(row.find(choice) != std::string::npos);
      }
    }
  }
}

TEST_CASE("the page names no kind that the parser does not know") {
  for (const auto& [kind, section] : ReadPage()) {
    if (kind.empty() || section.rows.empty()) continue;
    INFO(kind);
    REQUIRE(FindKind(kind) != nullptr);
  }
}

TEST_CASE("the example files parse") {
  for (const std::string site : {"demo", "mantaro", "caledonian"}) {
    INFO(site);
    const auto parsed = ParseRules(ReadFile("examples/" + site + "/rules.txt"));
    if (const auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
      FAIL(Describe(errors->front()));
    }
  }
}

}  // namespace
}  // namespace briarspread
