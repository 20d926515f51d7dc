#include "briarspread/membership/digest.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "briarspread/membership/digest_seal.h"

namespace briarspread {
namespace {

constexpr char kKey[] = "shared";

std::string AnyName() {
  const auto size = *rc::gen::inRange<std::size_t>(1, kMaxNameBytes + 1);
  return std::string(size, *rc::gen::inRange('a', 'z'));
}

MemberRecord AnyMember() {
  MemberRecord record;
  record.id = InstanceId(AnyName());
  record.endpoint = {AnyName(), *rc::gen::arbitrary<std::uint16_t>()};
  record.locality = {RegionId(AnyName()), ZoneId(AnyName())};
  record.version = {Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
                    *rc::gen::inRange<std::uint32_t>(0, 1000)};
  record.liveness = static_cast<Liveness>(*rc::gen::inRange(0, 3));
  record.leaving = *rc::gen::arbitrary<bool>();
  record.rules_revision = Revision(*rc::gen::arbitrary<std::uint64_t>());
  return record;
}

Notice AnyNotice() {
  Notice notice;
  notice.key = {Fingerprint(*rc::gen::arbitrary<std::uint64_t>()),
                static_cast<NoticeKind>(*rc::gen::inRange(0, 2)),
                InstanceId(AnyName())};
  notice.count = *rc::gen::arbitrary<std::uint32_t>();
  notice.remaining = seconds(*rc::gen::inRange(0, 3600));
  return notice;
}

/// Returns a random digest of the maximum size.
Digest AnyDigest() {
  Digest digest;
  digest.kind = static_cast<DigestKind>(*rc::gen::inRange(0, 3));
  digest.sender = AnyMember();
  digest.sequence = *rc::gen::inRange<std::uint64_t>(1, 1000);
  digest.acknowledges = *rc::gen::arbitrary<std::uint64_t>();
  digest.epoch = Epoch(*rc::gen::arbitrary<std::uint64_t>());
  digest.load = {*rc::gen::arbitrary<std::uint32_t>(), 3};
  DigestBuilder builder(digest);
  for (int i = *rc::gen::inRange(0, 4); i > 0 && builder.Add(AnyNotice());) --i;
  while (builder.Add(AnyMember())) {
  }
  return builder.digest();
}

Digest SmallDigest(std::uint64_t incarnation, std::uint64_t sequence) {
  Digest digest;
  digest.sender.id = InstanceId("peer");
  digest.sender.version.incarnation = Incarnation(incarnation);
  digest.sequence = sequence;
  return digest;
}

}  // namespace

TEST_CASE("an encoded digest fits a datagram and is decoded unchanged") {
  rc::prop("round trip", [] {
    const Digest digest = AnyDigest();
    DigestSeal sender(kKey, 8);
    DigestSeal receiver(kKey, 8);
    const std::string datagram = sender.Seal(digest);
    RC_ASSERT(datagram.size() <= kMaxDatagramBytes);
    const auto read = receiver.Open(datagram);
    RC_ASSERT(IsOk(read));
    RC_ASSERT(ValueOf(read) == digest);
  });
}

TEST_CASE("arbitrary bytes are decoded or refused") {
  rc::prop("random bytes", [](const std::vector<std::uint8_t>& bytes) {
    const std::string text(bytes.begin(), bytes.end());
    DecodeDigest(text);
    DigestSeal seal(kKey, 8);
    RC_ASSERT(!IsOk(seal.Open(text)));
  });
  rc::prop("changed digests", [] {
    std::string text = EncodeDigest(AnyDigest());
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] =
          static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
    }
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    const auto read = DecodeDigest(text);
    if (IsOk(read)) RC_ASSERT(IsOk(DecodeDigest(EncodeDigest(ValueOf(read)))));
  });
  // An array with more declared entries than fit into memory, and deep nesting.
  CHECK_FALSE(IsOk(DecodeDigest("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff")));
  CHECK_FALSE(IsOk(DecodeDigest(std::string(kMaxDatagramBytes, '\x81'))));
}

TEST_CASE("forged digests are refused") {
  DigestSeal sender(kKey, 8);
  const std::string datagram = sender.Seal(SmallDigest(1, 1));
  DigestSeal receiver(kKey, 8);
  for (std::size_t i = 0; i < datagram.size(); ++i) {
    std::string forged = datagram;
    forged[i] = static_cast<char>(forged[i] ^ 1);
    const auto read = receiver.Open(forged);
    REQUIRE_FALSE(IsOk(read));
    REQUIRE(ErrorOf(read).code == ErrorCode::kUnauthenticated);
  }
  DigestSeal stranger("another key", 8);
  CHECK_FALSE(IsOk(stranger.Open(datagram)));
  CHECK(IsOk(receiver.Open(datagram)));
}

TEST_CASE("replayed digests and those of an earlier incarnation are refused") {
  DigestSeal sender(kKey, 8);
  const auto seal = [&](std::uint64_t incarnation, std::uint64_t sequence) {
    return sender.Seal(SmallDigest(incarnation, sequence));
  };
  // Decoding alone does not detect a replay.
  CHECK(IsOk(DecodeDigest(EncodeDigest(SmallDigest(1, 5)))));
  DigestSeal receiver(kKey, 8);
  CHECK(IsOk(receiver.Open(seal(1, 5))));
  CHECK_FALSE(IsOk(receiver.Open(seal(1, 5))));
  CHECK(IsOk(receiver.Open(seal(1, 3))));  // reordered by the network
  CHECK_FALSE(IsOk(receiver.Open(seal(1, 3))));
  CHECK(IsOk(receiver.Open(seal(1, 100))));
  CHECK_FALSE(IsOk(receiver.Open(seal(1, 4))));  // below the window
  CHECK(IsOk(receiver.Open(seal(2, 1))));
  CHECK_FALSE(IsOk(receiver.Open(seal(1, 101))));
}

TEST_CASE("HmacSha256 passes test case 2 of RFC 4231") {
  const std::string seal = HmacSha256("Jefe", "what do ya want for nothing?");
  constexpr unsigned char kStart[] = {0x5b, 0xdc, 0xc1, 0x46};
  CHECK(std::equal(std::begin(kStart), std::end(kStart), seal.begin(),
                   [](unsigned char a, char b) {
                     return a == static_cast<unsigned char>(b);
                   }));
}

}  // namespace briarspread
