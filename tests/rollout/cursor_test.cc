#include "briarspread/rollout/cursor.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/core/random_source.h"

namespace briarspread {
namespace {

constexpr char kKey[] = "a key that all instances share";
constexpr int kFuzzRounds = 20000;

Cursor MakeCursor(std::size_t groups) {
  Cursor cursor{TrainerId("lima"), StepNumber(7), 3, 0x1234,
                std::vector<bool>(groups)};
  for (std::size_t i = 0; i < groups; i += 3) cursor.delivered[i] = true;
  return cursor;
}

TEST_CASE("A cursor is decoded as it was encoded") {
  rc::prop(
      "round trip", [](std::uint64_t step, std::uint32_t batch,
                       std::uint64_t digest, const std::vector<bool>& groups) {
        const auto name = *rc::gen::nonEmpty(rc::gen::string<std::string>());
        RC_PRE(name.size() <= kMaxTrainerNameBytes);
        const Cursor cursor{TrainerId(name), StepNumber(step), batch, digest,
                            groups};
        const CursorCodec codec(kKey);
        const auto decoded = codec.Decode(codec.Encode(cursor));
        RC_ASSERT(IsOk(decoded));
        RC_ASSERT(ValueOf(decoded) == cursor);
      });
}

TEST_CASE("Any changed, truncated or lengthened cursor is refused") {
  rc::prop("corruption", [] {
    const CursorCodec codec(kKey);
    const std::string text =
        codec.Encode(MakeCursor(*rc::gen::inRange<std::size_t>(0, 40)));
    std::string corrupted = text;
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        corrupted[place] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        corrupted.resize(place);
        break;
      default:
        corrupted.insert(place, 1, *rc::gen::arbitrary<char>());
    }
    RC_PRE(corrupted != text);
    const auto decoded = codec.Decode(corrupted);
    RC_ASSERT(!IsOk(decoded));
    RC_ASSERT(ErrorOf(decoded).code == ErrorCode::kInvalidArgument);
  });
}

TEST_CASE("A cursor encoded with another key is refused") {
  const std::string text = CursorCodec("another key").Encode(MakeCursor(9));
  REQUIRE_FALSE(IsOk(CursorCodec(kKey).Decode(text)));
}

TEST_CASE("Random text is refused without a crash") {
  const CursorCodec codec(kKey);
  SeededRandom random(20261204);
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_=+/ \n";
  for (int i = 0; i < kFuzzRounds; ++i) {
    std::string text(random.Below(300), 'A');
    for (char& c : text) c = kAlphabet[random.Below(kAlphabet.size())];
    REQUIRE_FALSE(IsOk(codec.Decode(text)));
  }
}

TEST_CASE("The cursor of the largest step fits into a URL") {
  const CursorCodec codec(kKey);
  REQUIRE(codec.Encode(MakeCursor(1024)).size() < 256);
  const std::string text = codec.Encode(MakeCursor(kMaxGroupsPerStep));
  REQUIRE(text.size() < 2048);
  REQUIRE(IsOk(codec.Decode(text)));
}

}  // namespace
}  // namespace briarspread
