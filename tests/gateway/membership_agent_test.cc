#include "briarspread/gateway/membership_agent.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

namespace briarspread {
namespace {

/// Far longer than any step takes, so that a slow machine does not fail the
/// test.
constexpr seconds kWaitTimeout{60};
constexpr milliseconds kPollInterval{5};

bool WaitUntil(const std::function<bool()>& done) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + kWaitTimeout;
  while (!done()) {
    if (clock.Now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

/// Records the highest rules revision and the last notice count reported.
class RecordingObserver final : public MembershipObserver {
 public:
  void OnPeerReport(const PeerReport& report) override {
    revision = std::max(revision.load(), report.rules_revision.value());
  }
  void OnNotice(const Notice& notice) override { count = notice.count; }

  std::atomic<std::uint64_t> revision{0};
  std::atomic<std::uint32_t> count{0};
};

MembershipAgentSettings MakeSettings(std::uint16_t port) {
  MembershipAgentSettings settings;
  settings.listen = {"127.0.0.1", port};
  settings.node.interval = milliseconds(20);
  settings.node.peer_key = "shared";
  return settings;
}

MemberRecord MakeRecord(const std::string& id, std::uint16_t port) {
  MemberRecord record;
  record.id = InstanceId(id);
  record.endpoint = {"127.0.0.1", port};
  record.locality = {RegionId("lim"), ZoneId("lim-a")};
  record.version.incarnation = Incarnation(1);
  return record;
}

std::optional<MemberState> StateIn(const MembershipAgent& agent,
                                   const std::string& id) {
  const auto snapshot = agent.members().Read();
  for (const MemberView& it : snapshot->members) {
    if (it.record.id == InstanceId(id)) return it.state;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("two agents exchange rules revisions, notices and leaving") {
  const SystemClock clock;
  SeededRandom random(static_cast<std::uint64_t>(getpid()));
  RecordingObserver recorder;
  // Retry with other ports if these are in use.
  std::unique_ptr<MembershipAgent> first;
  std::unique_ptr<MembershipAgent> second;
  std::uint16_t port = 0;
  bool started = false;
  for (int tries = 0; tries < 50 && !started; ++tries) {
    port = static_cast<std::uint16_t>(20000 + random.Below(20000));
    const auto next = static_cast<std::uint16_t>(port + 1);
    first = std::make_unique<MembershipAgent>(
        MakeSettings(port), MakeRecord("a", port), clock, random, nullptr);
    second = std::make_unique<MembershipAgent>(
        MakeSettings(next), MakeRecord("b", next), clock, random, &recorder);
    started = IsOk(first->Start()) && IsOk(second->Start());
  }
  REQUIRE(started);

  // Only one of the two agents has the other in its list.
  ListedInstance listed;
  listed.name = "a";
  listed.endpoint = {"127.0.0.1", port};
  listed.locality = {RegionId("lim"), ZoneId("lim-a")};
  second->ApplyList({listed});
  first->SetRulesRevision(Revision(9));
  first->AddNotice({{Fingerprint(5), NoticeKind::kConviction, InstanceId("a")},
                    2,
                    seconds(60)});
  CHECK(WaitUntil([&] { return StateIn(*first, "b") == MemberState::kAlive; }));
  CHECK(WaitUntil([&] { return recorder.revision == 9; }));
  CHECK(WaitUntil([&] { return recorder.count == 2; }));
  first->Leave();
  CHECK(WaitUntil(
      [&] { return StateIn(*second, "a") == MemberState::kLeaving; }));
  first->Stop();
  second->Stop();
}

TEST_CASE("an invalid listen address is refused") {
  const SystemClock clock;
  SeededRandom random(1);
  MembershipAgentSettings settings = MakeSettings(1);
  settings.listen.host = "not an address";
  MembershipAgent agent(settings, MakeRecord("a", 1), clock, random, nullptr);
  const Status started = agent.Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(ErrorOf(started).message.find("not an address") != std::string::npos);
}

}  // namespace briarspread
