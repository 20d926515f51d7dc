#include "briarspread/core/base64.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

TEST_CASE("decoding reverses encoding") {
  rc::prop("any bytes", [](const std::string& bytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  });
}

TEST_CASE("DecodeBase64 rejects text that is not base64") {
  REQUIRE(DecodeBase64("") == "");
  REQUIRE_FALSE(DecodeBase64("abc").has_value());
  REQUIRE_FALSE(DecodeBase64("????").has_value());
}

}  // namespace
}  // namespace briarspread
