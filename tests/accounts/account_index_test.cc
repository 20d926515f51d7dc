// Tests of the look-up of client accounts by API key.
#include "briarspread/accounts/account_index.h"

#include <catch2/catch.hpp>

namespace briarspread::accounts {
namespace {

TEST_CASE("a key finds its account and no other text does") {
  AccountIndex index;
  REQUIRE_FALSE(index.is_enabled());
  index.Add({AccountId("a"), 3}, {DigestOf("key-1"), DigestOf("key-2")});
  index.Add({AccountId("b"), std::nullopt}, {DigestOf("key-3")});
  REQUIRE(index.is_enabled());
  REQUIRE(index.FindByKey("key-2")->id == AccountId("a"));
  REQUIRE(index.FindByKey("key-2")->priority == 3U);
  REQUIRE(index.FindByKey("key-3")->id == AccountId("b"));
  for (const char* unknown : {"", "key-", "key-11", "KEY-1"}) {
    REQUIRE(index.FindByKey(unknown) == nullptr);
  }
}

// Guards against a caller that gains another account's rights by a key that an
// erroneous configuration lists twice.
TEST_CASE("a key that two accounts list stays with the first") {
  AccountIndex index;
  REQUIRE(index.Add({AccountId("a"), std::nullopt}, {DigestOf("key")}) == 0);
  REQUIRE(index.Add({AccountId("b"), std::nullopt}, {DigestOf("key")}) == 1);
  REQUIRE(index.FindByKey("key")->id == AccountId("a"));
}

TEST_CASE("a digest survives its text form, and other text is no digest") {
  const KeyDigest digest = DigestOf("key");
  const std::string text = FormatDigest(digest);
  REQUIRE(ParseDigest(text) == digest);
  REQUIRE_FALSE(ParseDigest(text + "0").has_value());
  REQUIRE_FALSE(ParseDigest("g" + text.substr(1)).has_value());
  REQUIRE_FALSE(ParseDigest("key").has_value());
}

}  // namespace
}  // namespace briarspread::accounts
