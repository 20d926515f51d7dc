#include <catch2/catch.hpp>

#include "briarspread/batch/item_progress_cache.h"
#include "briarspread/batch/job_checkpoint.h"
#include "briarspread/batch/job_handover.h"
#include "briarspread/batch/job_ledger.h"
#include "briarspread/proxy/event_stream_reader.h"

namespace briarspread::batch {
namespace {

const TimePoint kNow{};
const SoftwareVersion kSoftware("v1");

proxy::StreamEvent Event(std::uint64_t id, const std::string& data) {
  proxy::StreamEvent event;
  event.id = id;
  event.data = data;
  event.has_data = true;
  return event;
}

JobSpec Spec(int groups, int size, bool has_reward = false) {
  JobSpec spec;
  spec.id = JobId("job");
  spec.oldest_allowed = WeightVersion(3);
  for (int g = 0; g < groups; ++g) {
    for (int i = 0; i < size; ++i) {
      ItemSpec item;
      item.id = ItemId("i" + std::to_string(g) + std::to_string(i));
      item.group = ItemGroup("g" + std::to_string(g));
      item.body = std::string("\x00\xff", 2);
      item.headers = {{"X-A", "b"}};
      if (has_reward) item.reward = RewardCall{"r", "h", "/p", "\xfe"};
      spec.items.push_back(item);
    }
  }
  return spec;
}

JobLimits Limits() {
  JobLimits limits;
  limits.due = kNow + seconds(5);
  limits.give_up_time = kNow + seconds(40);
  limits.max_attempts = 2;
  return limits;
}

void Complete(JobLedger& ledger, std::size_t i, TimePoint now = kNow) {
  ledger.StartRun(i, now);
  ledger.AddEvent(i, Event(1, "x"), WeightVersion(4), kSoftware);
  ledger.MarkRunComplete(i, now);
}

TEST_CASE("a stream is parsed into events wherever its bytes are split") {
  const std::string stream =
      ":comment\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n"
      "X-Weights: 7\nid: 2\ndata:c\n\nid: 3\ndata: lost";
  for (std::size_t cut = 1; cut < stream.size(); ++cut) {
    proxy::EventStreamReader reader("x-weights");
    auto events = reader.Feed(stream.substr(0, cut));
    for (proxy::StreamEvent& event : reader.Feed(stream.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].id == 1);
    REQUIRE(events[0].data == "a\nb");
    REQUIRE_FALSE(events[0].version.has_value());
    REQUIRE(events[1].data == "c");
    REQUIRE(events[1].version == WeightVersion(7));
    REQUIRE(reader.has_partial());
  }
}

TEST_CASE("progress adds each event once, in order, and records its versions") {
  ItemProgress progress;
  using Outcome = ItemProgress::Outcome;
  REQUIRE(progress.Add(Event(1, "a"), WeightVersion(4), kSoftware) ==
          Outcome::kAdded);
  REQUIRE(progress.Add(Event(1, "a"), WeightVersion(4), kSoftware) ==
          Outcome::kRepeated);
  REQUIRE(progress.Add(Event(3, "c"), WeightVersion(4), kSoftware) ==
          Outcome::kGap);
  REQUIRE(progress.Add(Event(2, "b"), WeightVersion(6), kSoftware) ==
          Outcome::kAdded);
  REQUIRE(progress.Add(Event(3, "c"), WeightVersion(5), kSoftware) ==
          Outcome::kAdded);
  REQUIRE(progress.text() == "a\nb\nc");
  REQUIRE(progress.versions() == std::vector<WeightVersion>{WeightVersion(4),
                                                            WeightVersion(5),
                                                            WeightVersion(6)});
  REQUIRE(progress.Fits(WeightVersion(4), false));
  REQUIRE_FALSE(progress.Fits(WeightVersion(5), false));
  REQUIRE_FALSE(progress.Fits(WeightVersion(4), true));
}

TEST_CASE("a complete group is listed at once, a partial group waits") {
  JobLedger ledger(Spec(2, 2), Limits(), kNow);
  Complete(ledger, 0);
  Complete(ledger, 2);
  REQUIRE(ledger.ResultsToList(kNow, seconds(1)).empty());
  REQUIRE(ledger.ResultsToList(kNow + seconds(1), seconds(1)).size() == 2);
  Complete(ledger, 1);
  const auto due = ledger.ResultsToList(kNow, seconds(1));
  REQUIRE(due.size() == 3);
  ledger.MarkListed(due);
  REQUIRE(ledger.CountCompleteGroups() == 1);
  REQUIRE(ledger.ResultsToList(kNow + seconds(9), seconds(1)).empty());
}

TEST_CASE("the position of a listed result never changes") {
  JobLedger ledger(Spec(1, 3), Limits(), kNow);
  Complete(ledger, 1);
  ledger.MarkListed(ledger.ResultsToList(kNow + seconds(2), seconds(1)));
  Complete(ledger, 0);
  Complete(ledger, 2);
  const auto due = ledger.ResultsToList(kNow, seconds(1));
  ledger.MarkListed(due);
  ledger.MarkListed(due);
  REQUIRE(ledger.listed().size() == 3);
  REQUIRE(ledger.Page(0).results[0].id == ItemId("i01"));
  REQUIRE(ledger.Page(2).results.size() == 1);
  REQUIRE(ledger.Page(7).results.empty());
  REQUIRE(ledger.Page(1).next == 3);
  REQUIRE(ledger.Page(1).total == 3);
  REQUIRE(ledger.is_all_listed());
}

TEST_CASE("a page is limited in bytes but has at least one result") {
  std::vector<ItemResult> listed(3);
  for (ItemResult& result : listed) result.text = std::string(900'000, 'x');
  REQUIRE(MakePage(listed, 3, 0).results.size() == 1);
  REQUIRE(MakePage(listed, 3, 0).next == 1);
}

TEST_CASE("restored results are listed, other items wait") {
  JobLedger ledger(Spec(1, 2), Limits(), kNow);
  ItemResult done;
  done.id = ItemId("i01");
  done.is_complete = true;
  ledger.RestoreListed({done});
  REQUIRE(ledger.item(1).phase == ItemPhase::kListed);
  REQUIRE(ledger.item(0).phase == ItemPhase::kWaiting);
}

TEST_CASE("an item is given up only after too many failures or its time") {
  JobLedger ledger(Spec(1, 3), Limits(), kNow);
  ledger.StartRun(0, kNow);
  ledger.MarkRunFailed(0, kNow);
  REQUIRE(ledger.item(0).phase == ItemPhase::kWaiting);
  ledger.StartRun(0, kNow);
  ledger.MarkRunFailed(0, kNow);
  REQUIRE(ledger.item(0).is_given_up);

  ledger.StartRun(1, kNow);
  ledger.MarkRunBroken(1, kNow);
  ledger.Expire(kNow + seconds(39));
  REQUIRE_FALSE(ledger.item(1).is_given_up);
  ledger.Expire(kNow + seconds(40));
  REQUIRE(ledger.item(1).is_given_up);
  REQUIRE_FALSE(
      ledger.ResultsToList(kNow + seconds(41), seconds(0)).front().is_complete);
}

TEST_CASE("no result is complete without its score") {
  JobLedger ledger(Spec(1, 1, true), Limits(), kNow);
  Complete(ledger, 0);
  REQUIRE(ledger.item(0).phase == ItemPhase::kScoring);
  REQUIRE(ledger.ResultsToList(kNow + seconds(9), seconds(0)).empty());
  ledger.MarkRewardFailed(0, 1, 4, kNow);
  REQUIRE(ledger.item(0).phase == ItemPhase::kScoring);
  ledger.SetScore(0, "sig", kNow);
  REQUIRE(ledger.ResultsToList(kNow, seconds(0)).front().score == "sig");

  JobLedger failing(Spec(1, 1, true), Limits(), kNow);
  Complete(failing, 0);
  failing.MarkRewardFailed(0, 4, 4, kNow);
  REQUIRE(failing.item(0).is_given_up);
}

TEST_CASE("text of an earlier job is resumed only if its versions fit") {
  JobLedger ledger(Spec(1, 2), Limits(), kNow);
  ItemProgress old;
  old.Add(Event(1, "a"), WeightVersion(2), kSoftware);
  ledger.RestoreProgress(0, old);
  REQUIRE_FALSE(ledger.item(0).progress.has_events());
  ItemProgress fit;
  fit.Add(Event(1, "a"), WeightVersion(3), kSoftware);
  ledger.RestoreProgress(1, fit);
  REQUIRE(ledger.item(1).is_resumed);
}

TEST_CASE("the progress cache matches whole requests and is limited in bytes") {
  const JobSpec spec = Spec(1, 3);
  ItemProgress progress;
  progress.Add(Event(1, std::string(60, 'x')), WeightVersion(3), kSoftware);
  ItemProgressCache cache(100);
  cache.Put(spec.items[0], progress);
  ItemSpec changed = spec.items[0];
  changed.body = "other";
  REQUIRE_FALSE(cache.Take(changed).has_value());
  cache.Put(spec.items[0], progress);
  REQUIRE(cache.Take(spec.items[0])->text().size() == 60);
  REQUIRE(cache.bytes() == 0);
  cache.Put(spec.items[0], progress);
  cache.Put(spec.items[1], progress);
  REQUIRE_FALSE(cache.Take(spec.items[0]).has_value());
  REQUIRE(cache.Take(spec.items[1]).has_value());
}

TEST_CASE("text is reassembled from checkpoints") {
  CheckpointPlan plan(2);
  ItemProgress progress;
  std::vector<JobCheckpoint> written;
  const ItemId id("i");
  for (std::uint64_t n = 1; n <= 7; ++n) {
    progress.Add(Event(n, "e" + std::to_string(n)), WeightVersion(3 + n / 4),
                 kSoftware);
    const auto part = plan.PartFor(id, progress);
    REQUIRE(part.has_value() == (n % 2 == 0));
    if (!part.has_value()) continue;
    // Encoding and decoding preserve the parts.
    written.push_back(*DecodeJobCheckpoint(Encode(JobCheckpoint{*part})));
    plan.MarkWritten({*part});
  }
  const auto assembled = AssembleProgress(written);
  REQUIRE(assembled.at(id).text() == "e1\ne2\ne3\ne4\ne5\ne6");
  REQUIRE(assembled.at(id).last_event_id() == 6);
  REQUIRE(assembled.at(id).versions().size() == 2);
  // Without the first part the later ones cannot be used.
  REQUIRE(AssembleProgress({written[1], written[2]}).empty());
}

TEST_CASE("the checkpoint of a restarted item replaces the earlier one") {
  CheckpointPlan plan(1);
  ItemProgress first;
  first.Add(Event(1, "a"), WeightVersion(3), kSoftware);
  first.Add(Event(2, "b"), WeightVersion(3), kSoftware);
  const auto before = plan.PartFor(ItemId("i"), first);
  plan.MarkWritten({*before});
  ItemProgress second;
  second.Add(Event(1, "c"), WeightVersion(4), kSoftware);
  const auto after = plan.PartFor(ItemId("i"), second);
  REQUIRE(after->offset == 0);
  REQUIRE(AssembleProgress({{*before}, {*after}}).at(ItemId("i")).text() ==
          "c");
}

TEST_CASE("a checkpoint does not continue the text before a restart") {
  CheckpointPlan plan(1);
  ItemProgress first;
  first.Add(Event(1, "a"), WeightVersion(3), kSoftware);
  const auto before = plan.PartFor(ItemId("i"), first);
  plan.MarkWritten({*before});
  // Has grown beyond the earlier text by the time it is looked at.
  ItemProgress second;
  second.Add(Event(1, "c"), WeightVersion(4), kSoftware);
  second.Add(Event(2, "d"), WeightVersion(4), kSoftware);
  const auto after = plan.PartFor(ItemId("i"), second);
  REQUIRE(AssembleProgress({{*before}, {*after}}).at(ItemId("i")).text() ==
          "c\nd");
}

TEST_CASE(
    "text keeps its software version on every way; unknown fits nothing") {
  ItemProgress progress;
  progress.Add(Event(1, "a"), WeightVersion(3), kSoftware);
  CheckpointPlan plan(1);
  const auto part = plan.PartFor(ItemId("i"), progress);
  const auto kept = DecodeJobCheckpoint(Encode(JobCheckpoint{*part}));
  REQUIRE(AssembleProgress({*kept}).at(ItemId("i")).software() == kSoftware);
  JobHandover handover;
  handover.progress.emplace(ItemId("i"), progress);
  const auto handed = DecodeJobHandover(Encode(handover));
  REQUIRE(handed->progress.at(ItemId("i")).software() == kSoftware);

  JobLedger ledger(Spec(1, 2), Limits(), kNow);
  ledger.RestoreProgress(0, handed->progress.at(ItemId("i")));
  REQUIRE(ledger.item(0).progress.has_events());
  // As an older build wrote it.
  ledger.RestoreProgress(
      1, ItemProgress("a", 1, 1, {WeightVersion(3)}, SoftwareVersion()));
  REQUIRE_FALSE(ledger.item(1).progress.has_events());
}

TEST_CASE("encodings preserve any bytes, and malformed input is rejected") {
  JobSpec spec = Spec(1, 2, true);
  spec.host = "h";
  spec.model = ModelName("m");
  spec.target_groups = 9;
  const auto back = DecodeJobSpec(Encode(spec));
  REQUIRE(back->items[1].body == std::string("\x00\xff", 2));
  REQUIRE(back->items[1].reward->body == "\xfe");
  REQUIRE(back->items[0].headers[0].value == "b");
  REQUIRE(back->target_groups == 9);

  ItemResult result;
  result.id = ItemId("i");
  result.is_complete = true;
  result.text = "\xc3\x28";
  result.versions = {WeightVersion(2), WeightVersion(3)};
  result.score = "s";
  const auto results = DecodeResults(Encode(std::vector<ItemResult>{result}));
  REQUIRE(results->at(0).text == result.text);
  REQUIRE(results->at(0).versions == result.versions);

  JobRecord record;
  record.owner = InstanceId("o");
  record.submitted = WallTime(seconds(7));
  record.home_key = "k";
  record.is_ended = true;
  const auto known = DecodeJobRecord(Encode(record));
  REQUIRE(known->submitted == record.submitted);
  REQUIRE(known->is_ended);

  JobHandover handover;
  handover.progress.emplace(
      ItemId("i"), ItemProgress("a\nb", 2, 2, {WeightVersion(3)}, kSoftware));
  REQUIRE(DecodeJobHandover(Encode(handover))
              ->progress.at(ItemId("i"))
              .last_event_id() == 2);

  for (const std::string& bad : {std::string(), std::string("\xa1"),
                                 std::string("text"), std::string("\xf6")}) {
    REQUIRE_FALSE(DecodeJobSpec(bad).has_value());
    REQUIRE_FALSE(DecodeJobRecord(bad).has_value());
    REQUIRE_FALSE(DecodeResultPage(bad).has_value());
    REQUIRE_FALSE(DecodeJobHandover(bad).has_value());
  }
}

TEST_CASE("a group is reported as complete only with its last result") {
  JobLedger ledger(Spec(1, 2), Limits(), kNow);
  Complete(ledger, 0);
  const auto first = ledger.ResultsToList(kNow, seconds(0));
  ledger.MarkListed(first);
  REQUIRE(ledger.GroupsCompletedBy(first).empty());
  Complete(ledger, 1);
  const auto second = ledger.ResultsToList(kNow, seconds(0));
  ledger.MarkListed(second);
  REQUIRE(ledger.GroupsCompletedBy(second).size() == 1);
}

}  // namespace
}  // namespace briarspread::batch
