#include "briarspread/proxy/shed_policy.h"

#include <catch2/catch.hpp>

namespace briarspread::proxy {
namespace {

constexpr std::size_t kLarge = std::size_t{1} << 20U;
using Phase = ConnectionPhase;

TEST_CASE("a stalled request is closed before one that waits for memory") {
  // Otherwise clients that hold memory and send nothing starve all others.
  const ShedPolicy policy{ShedSettings{}};
  std::vector<ConnectionLoad> all = {
      {Phase::kReceiving, kLarge, milliseconds(2500)},
      {Phase::kReceiving, 2 * kLarge, milliseconds(3000)},
      {Phase::kHandling, kLarge, milliseconds(9000)},
      {Phase::kPaused, kLarge, milliseconds(100)}};
  REQUIRE(policy.ChooseForMemory(all) == 1);
  all.pop_back();
  REQUIRE_FALSE(policy.ChooseForMemory(all).has_value());
}

TEST_CASE("if all requests wait for memory, the smallest is rejected") {
  // Otherwise they would wait for each other for ever.
  const ShedPolicy policy{ShedSettings{}};
  std::vector<ConnectionLoad> all = {
      {Phase::kPaused, 2 * kLarge, milliseconds(500)},
      {Phase::kPaused, kLarge, milliseconds(500)},
      {Phase::kReceiving, kLarge, milliseconds(1900)}};
  REQUIRE_FALSE(policy.ChooseForMemory(all).has_value());
  all[0].stalled = milliseconds(1000);
  REQUIRE(policy.ChooseForMemory(all) == 1);
}

TEST_CASE("requests in progress are not closed for new connections") {
  const ShedPolicy policy{ShedSettings{}};
  const std::vector<ConnectionLoad> all = {
      {Phase::kHandling, 100, milliseconds(60000)},
      {Phase::kReceiving, kLarge, milliseconds(100)},
      {Phase::kSending, 100, milliseconds(1000)},
      {Phase::kIdle, 100, milliseconds(50)},
      {Phase::kReceiving, 100, milliseconds(70)},
      {Phase::kSending, 100, milliseconds(4000)}};
  REQUIRE(policy.ChooseForConnections(all, 9) ==
          std::vector<std::size_t>{5, 4, 3});
  REQUIRE(policy.ChooseForConnections(all, 1) == std::vector<std::size_t>{5});
}

}  // namespace
}  // namespace briarspread::proxy
