#include "briarspread/transport/base64.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace briarspread {
namespace {

TEST_CASE("base64 decodes what it encoded") {
  rc::prop("any bytes", [](const std::string& bytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  });
}

TEST_CASE("text that is no base64 is refused") {
  REQUIRE_FALSE(DecodeBase64("abc").has_value());
  REQUIRE_FALSE(DecodeBase64("????").has_value());
}

}  // namespace
}  // namespace briarspread
