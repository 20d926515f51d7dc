#include "briarspread/core/bounded_json.h"

#include <catch2/catch.hpp>
#include <string>

namespace briarspread {
namespace {

TEST_CASE("JSON text over the bounds is not parsed") {
  const JsonBounds bounds{100, 3};
  REQUIRE(ParseBoundedJson(R"({"a":[[1]]})", bounds)["a"][0][0] == 1);
  REQUIRE(ParseBoundedJson(R"({"a":[[[1]]]})", bounds).is_discarded());
  // Brackets in strings do not nest.
  REQUIRE(ParseBoundedJson(R"(["[[[[","\\\"[[[["])", bounds).size() == 2);
  REQUIRE(
      ParseBoundedJson("\"" + std::string(98, 'x') + "\"", bounds).is_string());
  REQUIRE(ParseBoundedJson("\"" + std::string(99, 'x') + "\"", bounds)
              .is_discarded());
  for (const char* text : {"", "{", "]]]]", "[1,", "\"", "\xff"}) {
    REQUIRE(ParseBoundedJson(text, bounds).is_discarded());
  }
}

TEST_CASE("only whole numbers within the range are read") {
  const auto read = [](const char* text) {
    return ReadInteger(nlohmann::json::parse(text), 10);
  };
  REQUIRE(read("0") == 0);
  REQUIRE(read("10") == 10);
  for (const char* text : {"11", "-1", "1.0", "1e300", "\"1\"", "null", "[]"}) {
    REQUIRE_FALSE(read(text).has_value());
  }
}

}  // namespace
}  // namespace briarspread
