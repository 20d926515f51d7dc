// Checks that each test named in docs/RECOVERY.md exists.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace briarspread {
namespace {

const std::filesystem::path kSource(BRIARSPREAD_SOURCE_DIR);

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path);
  REQUIRE(in);
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

bool HasTest(const std::string& program, const std::string& name) {
  const std::filesystem::path folder = kSource / "tests" / program;
  if (!std::filesystem::is_directory(folder)) return false;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".cc") continue;
    const std::string text = ReadFile(entry.path());
    if (text.find("\"" + name + "\"") != std::string::npos) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("each test that the recovery page names exists") {
  const std::string page = ReadFile(kSource / "docs/RECOVERY.md");
  const std::regex reference("`([a-z_]+): ([^`]+)`");
  int names = 0;
  for (auto it = std::sregex_iterator(page.begin(), page.end(), reference);
       it != std::sregex_iterator(); ++it) {
    INFO((*it)[0].str());
    CHECK(HasTest((*it)[1].str(), (*it)[2].str()));
    ++names;
  }
  CHECK(names > 0);
}

}  // namespace briarspread
