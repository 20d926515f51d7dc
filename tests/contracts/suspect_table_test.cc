#include "briarspread/contracts/suspect_table.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/manual_clock.h"

namespace briarspread::testing {
namespace {

const Fingerprint kCrashing(666);
const Fingerprint kSound(1);
/// Time until the end of an upstream is known.
constexpr milliseconds kLapse{3600};

UpstreamId Id(int n) { return UpstreamId("u" + std::to_string(n)); }

/// Instances that exchange evidence, in simulated time.
class Fleet {
 public:
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      names.emplace_back("entry-" + std::to_string(i));
      tables.push_back(MakeTable(names.back()));
    }
  }
  std::unique_ptr<SuspectTable> MakeTable(const InstanceId& name) const {
    return std::make_unique<SuspectTable>(SuspectSettings{}, name, clock);
  }
  /// Ends an upstream `lapse` after `in_flight` broke off there, each request
  /// sent `run_time` before through the instance `via`.
  void Crash(std::size_t via, int upstream,
             const std::vector<Fingerprint>& in_flight,
             milliseconds run_time = milliseconds(20),
             milliseconds lapse = milliseconds(0)) {
    std::vector<SuspectTable::BrokenRequest> broken;
    broken.reserve(in_flight.size());
    const TimePoint broke = clock.Now() - lapse;
    for (const Fingerprint it : in_flight) {
      broken.push_back({it, broke - run_time, broke});
    }
    tables[via]->RecordCrash(Id(upstream), broken);
  }
  /// Sends what each instance has not published yet to all others.
  void Exchange() {
    for (const auto& from : tables) {
      const auto digest = ParseSuspectDigest(ToJson(from->TakeUnpublished()));
      for (const auto& to : tables) {
        if (to != from) to->Merge(ValueOf(digest));
      }
    }
  }
  /// Crashes `kCrashing` three times, a second apart.
  void Convict() {
    for (int i = 0; i < 3; ++i) {
      Crash(0, i, {kCrashing});
      clock.Advance(seconds(1));
    }
    Exchange();
  }
  std::size_t GranterOf(Fingerprint request) const {
    const auto granter = OrderConvictionKeepers(request, names).front();
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), granter) - names.begin());
  }

  ManualClock clock;
  std::vector<InstanceId> names;
  std::vector<std::unique_ptr<SuspectTable>> tables;
};

// Guards against a ban of a lookup that many callers send, by replicas of one
// zone that end together (review/13).
TEST_CASE("upstreams that end together count as one crash") {
  Fleet fleet(3);
  // Each instance has the request in flight at each upstream of the zone, sent
  // at moments of its own; the ends are some ms apart.
  for (std::size_t via = 0; via < 3; ++via) {
    for (int upstream = 0; upstream < 8; ++upstream) {
      fleet.Crash(via, upstream, {kSound},
                  milliseconds(50 + 10 * static_cast<int>(via)),
                  milliseconds(8 - upstream));
    }
  }
  fleet.Exchange();
  for (const auto& it : fleet.tables) {
    REQUIRE(it->CountCrashes(kSound) == 1);
    REQUIRE(it->Decide(kSound) == SuspectAdmission::kRun);
  }
}

TEST_CASE(
    "a request that is sent again after each crash is refused after three") {
  Fleet fleet(3);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(fleet.tables[2]->Decide(kCrashing) == SuspectAdmission::kRun);
    // Within one instance each crash may follow the one before at once.
    fleet.Crash(0, i,
                {kCrashing, Fingerprint(100U + static_cast<unsigned>(i))});
    fleet.Exchange();
    fleet.clock.Advance(milliseconds(20));
  }
  for (const auto& it : fleet.tables) {
    REQUIRE(it->Decide(kCrashing) == SuspectAdmission::kRefuse);
    REQUIRE(it->Decide(Fingerprint(101)) == SuspectAdmission::kRun);
  }
}

TEST_CASE("a crash that several instances observed counts once") {
  Fleet fleet(2);
  for (int i = 0; i < 2; ++i) {
    fleet.Crash(0, i, {kCrashing});
    fleet.Crash(1, i, {kCrashing}, milliseconds(5));
    fleet.clock.Advance(seconds(1));
  }
  fleet.Exchange();
  for (const auto& it : fleet.tables) REQUIRE(it->CountCrashes(kCrashing) == 2);
}

TEST_CASE("crashes at two instances within the margin count once") {
  Fleet fleet(2);
  fleet.Crash(0, 0, {kCrashing});
  fleet.clock.Advance(milliseconds(60));
  fleet.Crash(1, 1, {kCrashing});
  fleet.Exchange();
  REQUIRE(fleet.tables[0]->CountCrashes(kCrashing) == 1);
  fleet.clock.Advance(milliseconds(300));
  fleet.Crash(1, 2, {kCrashing});
  fleet.Exchange();
  REQUIRE(fleet.tables[0]->CountCrashes(kCrashing) == 2);
}

TEST_CASE("an answer by any upstream, at any instance, drops all crashes") {
  Fleet fleet(2);
  fleet.Convict();
  REQUIRE(fleet.tables[1]->IsRefused(kCrashing));
  // One that was sent before the conviction.
  fleet.tables[1]->RecordAnswer(kCrashing);
  fleet.Exchange();
  for (const auto& it : fleet.tables) {
    REQUIRE(it->Decide(kCrashing) == SuspectAdmission::kRun);
    REQUIRE(it->CountCrashes(kCrashing) == 0);
    REQUIRE_FALSE(it->has_suspects());
  }
  // Reports of earlier crashes that come late don't count either.
  fleet.Crash(0, 7, {kCrashing}, milliseconds(20), milliseconds(500));
  REQUIRE(fleet.tables[0]->CountCrashes(kCrashing) == 0);
}

// Guards against crashes that are known only seconds later, when the answers
// that followed them are past (review/13).
TEST_CASE("an answer between a crash and its report counts") {
  Fleet fleet(2);
  fleet.clock.Advance(milliseconds(100));
  fleet.tables[1]->RecordAnswer(kSound);
  fleet.clock.Advance(kLapse);
  for (int i = 0; i < 3; ++i) {
    // 3.7 s ago and before, one after the other.
    fleet.Crash(0, i, {kSound}, milliseconds(20),
                kLapse + milliseconds(400 - 100 * i));
  }
  REQUIRE(fleet.tables[0]->IsRefused(kSound));
  // The other instance knows of the answer, and tells.
  fleet.Exchange();
  fleet.Exchange();
  for (const auto& it : fleet.tables) REQUIRE_FALSE(it->IsRefused(kSound));
}

TEST_CASE("an answer before a crash does not count for the request") {
  Fleet fleet(1);
  fleet.tables[0]->RecordAnswer(kCrashing);
  fleet.clock.Advance(milliseconds(1));
  fleet.Convict();
  REQUIRE(fleet.tables[0]->IsRefused(kCrashing));
}

TEST_CASE("a refused request is tried twice, at growing intervals") {
  Fleet fleet(3);
  fleet.Convict();
  SuspectTable& granter = *fleet.tables[fleet.GranterOf(kCrashing)];
  int upstream = 100;
  for (const milliseconds delay : {seconds(10), seconds(100)}) {
    REQUIRE(granter.Decide(kCrashing) == SuspectAdmission::kRefuse);
    REQUIRE_FALSE(granter.StartTrial(kCrashing));
    fleet.clock.Advance(*granter.TimeUntilTrial(kCrashing));
    REQUIRE(granter.TimeUntilTrial(kCrashing) == Duration(0));
    REQUIRE(granter.Decide(kCrashing) == SuspectAdmission::kTryOnce);
    REQUIRE(granter.StartTrial(kCrashing));
    fleet.Exchange();
    // Nobody tries it again until the trial's delay is over.
    for (const auto& it : fleet.tables) {
      REQUIRE(it->Decide(kCrashing) == SuspectAdmission::kRefuse);
    }
    fleet.Crash(0, upstream++, {kCrashing});
    fleet.Exchange();
    fleet.clock.Advance(delay / 2);
  }
  for (const auto& it : fleet.tables) {
    REQUIRE_FALSE(it->TimeUntilTrial(kCrashing).has_value());
  }
  fleet.clock.Advance(std::chrono::hours(20));
  REQUIRE(granter.Decide(kCrashing) == SuspectAdmission::kRefuse);
  REQUIRE_FALSE(granter.StartTrial(kCrashing));
}

TEST_CASE("a trial that is answered ends the refusal everywhere") {
  Fleet fleet(3);
  fleet.Convict();
  fleet.clock.Advance(seconds(20));
  REQUIRE(fleet.tables[0]->StartTrial(kCrashing));
  fleet.tables[0]->RecordAnswer(kCrashing);
  fleet.Exchange();
  for (const auto& it : fleet.tables) {
    REQUIRE(it->Decide(kCrashing) == SuspectAdmission::kRun);
  }
  // A later conviction has its trials again.
  fleet.clock.Advance(seconds(1));
  fleet.Convict();
  REQUIRE(fleet.tables[1]->TimeUntilTrial(kCrashing).has_value());
}

TEST_CASE("a conviction and its trials survive the instance that found it") {
  Fleet fleet(3);
  fleet.Convict();
  fleet.clock.Advance(seconds(20));
  REQUIRE(fleet.tables[1]->StartTrial(kCrashing));
  fleet.Exchange();
  const auto fresh = fleet.MakeTable(InstanceId("fresh"));
  fresh->Merge(fleet.tables[2]->All());
  REQUIRE(fresh->Decide(kCrashing) == SuspectAdmission::kRefuse);
  REQUIRE(fresh->TimeUntilTrial(kCrashing) ==
          fleet.tables[1]->TimeUntilTrial(kCrashing));
  // What is kept in the store is enough, too.
  const auto from_store = fleet.MakeTable(InstanceId("from-store"));
  from_store->Merge(Aged(fleet.tables[0]->Convictions(8), seconds(5)));
  REQUIRE(from_store->Decide(kCrashing) == SuspectAdmission::kRefuse);
}

TEST_CASE("a start that had only lost its registration is no crash") {
  Fleet fleet(2);
  fleet.Convict();
  for (const auto& it : fleet.tables) it->RetractCrash(Id(1));
  for (const auto& it : fleet.tables) {
    REQUIRE(it->CountCrashes(kCrashing) == 2);
    REQUIRE_FALSE(it->IsRefused(kCrashing));
  }
  // A peer's report from before does not bring it back; a later end counts.
  Fleet other(1);
  other.clock.Advance(seconds(1));
  fleet.Crash(0, 1, {kCrashing}, milliseconds(20), milliseconds(500));
  fleet.Exchange();
  REQUIRE(fleet.tables[1]->CountCrashes(kCrashing) == 2);
  fleet.clock.Advance(seconds(5));
  fleet.Crash(0, 1, {kCrashing});
  fleet.Exchange();
  REQUIRE(fleet.tables[1]->CountCrashes(kCrashing) == 3);
}

TEST_CASE("evidence is bounded, and a conviction outlives weaker evidence") {
  Fleet fleet(1);
  fleet.Convict();
  SuspectTable& table = *fleet.tables[0];
  const auto limit = SuspectSettings{}.max_suspects;
  for (std::size_t i = 0; i < limit + 500; ++i) {
    fleet.Crash(0, static_cast<int>(1000 + i), {Fingerprint(1000 + i)});
    fleet.clock.Advance(milliseconds(1));
  }
  REQUIRE(table.suspect_count() == limit);
  REQUIRE(table.IsRefused(kCrashing));
  // A digest stays one that a peer accepts, with the convictions in it.
  const auto digest = ParseSuspectDigest(ToJson(table.All()));
  REQUIRE(IsOk(digest));
  const auto fresh = fleet.MakeTable(InstanceId("fresh"));
  fresh->Merge(ValueOf(digest));
  REQUIRE(fresh->IsRefused(kCrashing));
  // The crashes of one request are bounded, and the conviction stays.
  for (int i = 0; i < 100; ++i) {
    fleet.Crash(0, 9000 + i, {kCrashing}, milliseconds(20));
  }
  REQUIRE(table.IsRefused(kCrashing));
  REQUIRE(table.Convictions(8).reports.size() <=
          SuspectSettings{}.max_crashes_held);
}

TEST_CASE("a conviction ends after its time") {
  Fleet fleet(1);
  fleet.Convict();
  fleet.clock.Advance(SuspectSettings{}.time_to_live + seconds(1));
  fleet.tables[0]->Merge({});
  REQUIRE_FALSE(fleet.tables[0]->has_suspects());
}

// Names the load that the rule must tell apart: one request that crashes each
// upstream, among sound requests in flight at the same upstreams, while a zone
// ends once a minute.
TEST_CASE("random crashes refuse only the crashing request") {
  rc::prop("one crashing request among many others", [] {
    Fleet fleet(*rc::gen::inRange(1, 8));
    const auto sound_count = *rc::gen::inRange<std::uint64_t>(1, 30);
    const auto pick = [&] {
      return *rc::gen::inRange<std::size_t>(0, fleet.tables.size());
    };
    int upstream = 0;
    int crashes = 0;
    int trials = 0;
    for (int round = 0; round < 150; ++round) {
      // Sound requests are in flight at an upstream, and answered elsewhere
      // when they are sent again.
      std::vector<std::vector<Fingerprint>> in_flight(fleet.tables.size());
      for (std::uint64_t i = 1; i <= sound_count; ++i) {
        in_flight[pick()].push_back(Fingerprint(i));
      }
      const std::size_t via = pick();
      bool is_sent = false;
      switch (fleet.tables[via]->Decide(kCrashing)) {
        case SuspectAdmission::kRun:
          is_sent = true;
          break;
        case SuspectAdmission::kTryOnce:
          is_sent =
              fleet.tables[fleet.GranterOf(kCrashing)]->StartTrial(kCrashing);
          trials += is_sent ? 1 : 0;
          break;
        case SuspectAdmission::kRefuse:
          break;
      }
      const bool is_zone_end = round % 60 == 30;
      if (is_sent || is_zone_end) {
        if (is_sent) in_flight[via].push_back(kCrashing);
        for (int end = 0; end < (is_zone_end ? 4 : 1); ++end) {
          for (std::size_t i = 0; i < in_flight.size(); ++i) {
            fleet.Crash(i, upstream, in_flight[i]);
          }
          ++upstream;
        }
        crashes += is_sent ? 1 : 0;
      }
      fleet.clock.Advance(milliseconds(500));
      for (std::uint64_t i = 1; i <= sound_count; ++i) {
        RC_ASSERT(fleet.tables[pick()]->Decide(Fingerprint(i)) ==
                  SuspectAdmission::kRun);
        fleet.tables[pick()]->RecordAnswer(Fingerprint(i));
      }
      fleet.Exchange();
      fleet.clock.Advance(milliseconds(500));
    }
    RC_ASSERT(fleet.tables[pick()]->IsRefused(kCrashing));
    RC_ASSERT(crashes - trials == 3);
    RC_ASSERT(trials <= 2);
  });
}

/// Ends of upstreams that are reported once their registration has lapsed.
class LapsingFleet final : public Fleet {
 public:
  using Fleet::Fleet;
  /// Ends an upstream now, with `in_flight` at the instance `via`.
  void EndUpstream(std::size_t via, const std::vector<Fingerprint>& in_flight) {
    pending_.push_back({clock.Now(), via, next_upstream_++, in_flight});
  }
  /// Reports what has lapsed, and exchanges the evidence.
  void Report() {
    while (!pending_.empty() && clock.Now() - pending_.front().at >= kLapse) {
      const End& end = pending_.front();
      const auto lapse =
          std::chrono::duration_cast<milliseconds>(clock.Now() - end.at);
      Crash(end.via, end.upstream, end.in_flight, milliseconds(30), lapse);
      pending_.erase(pending_.begin());
    }
    Exchange();
  }

 private:
  struct End {
    TimePoint at{};
    std::size_t via = 0;
    int upstream = 0;
    std::vector<Fingerprint> in_flight;
  };
  std::vector<End> pending_;
  int next_upstream_ = 0;
};

// Names the load: a zone that ends every minute for ten minutes under a lookup
// that is always in flight and answered elsewhere, and one request that crashes
// its upstreams, with the lookup in flight there too.
TEST_CASE("a lookup in flight at each end of a zone is never refused") {
  constexpr milliseconds kTick{100};
  constexpr int kTicksPerMinute = 600;
  // `StableMs` of the platform's rule on such requests.
  constexpr seconds kBudgetBegins{4};
  LapsingFleet fleet(6);
  std::vector<TimePoint> crashes;
  int refused = 0;
  int late = 0;
  int trials = 0;
  for (int tick = 0; tick < 10 * kTicksPerMinute; ++tick) {
    const auto via = static_cast<std::size_t>(tick) % 6;
    if (tick % kTicksPerMinute == 50) {
      for (std::size_t end = 0; end < 20; ++end) {
        fleet.EndUpstream(end % 6, {kSound});
      }
    }
    SuspectTable& table = *fleet.tables[via];
    const auto admission = table.Decide(kCrashing);
    const bool is_trial =
        admission == SuspectAdmission::kTryOnce &&
        fleet.tables[fleet.GranterOf(kCrashing)]->StartTrial(kCrashing);
    if (admission == SuspectAdmission::kRun || is_trial) {
      const TimePoint now = fleet.clock.Now();
      if (crashes.size() >= 3 && now > crashes[2] + kBudgetBegins) ++late;
      crashes.push_back(now);
      trials += is_trial ? 1 : 0;
      fleet.EndUpstream(via, {kCrashing, kSound});
    }
    refused += table.IsRefused(kSound) ? 1 : 0;
    fleet.clock.Advance(kTick / 2);
    table.RecordAnswer(kSound);
    fleet.Report();
    fleet.clock.Advance(kTick / 2);
  }
  REQUIRE(refused == 0);
  REQUIRE(fleet.tables[3]->IsRefused(kCrashing));
  REQUIRE(trials == 2);
  REQUIRE(late <= 3);
}

}  // namespace
}  // namespace briarspread::testing
