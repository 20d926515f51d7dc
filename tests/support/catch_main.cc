#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>
#include <string>

/// Runs the test cases of the program, except those that the environment
/// variable BRIARSPREAD_KNOWN_RED names, one a line. `scripts/test.sh` sets it
/// from KNOWN-RED.txt.
int main(int argc, char** argv) {
  Catch::Session session;
  const int error = session.applyCommandLine(argc, argv);
  if (error != 0) return error;
  const char* known_red = std::getenv("BRIARSPREAD_KNOWN_RED");
  std::istringstream names(known_red == nullptr ? "" : known_red);
  std::string exclusions;
  for (std::string name; std::getline(names, name);) {
    if (!name.empty()) exclusions += "~\"" + name + "\" ";
  }
  if (!exclusions.empty()) {
    session.configData().testsOrTags.push_back(exclusions);
  }
  return session.run();
}
