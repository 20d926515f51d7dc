#include "briarspread/forward/durable_suspects.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace briarspread::forward {
namespace {

using Json = nlohmann::json;

milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

/// What convictions state, apart from the times.
struct Contents {
  std::set<std::pair<Fingerprint, UpstreamId>> crashes;
  std::map<Fingerprint, std::uint32_t> trials;

  friend bool operator==(const Contents&, const Contents&) = default;
};

Contents ContentsOf(const SuspectDigest& convictions) {
  Contents contents;
  for (const CrashReport& report : convictions.reports) {
    for (const InFlightRequest& it : report.in_flight) {
      contents.crashes.emplace(it.fingerprint, report.upstream);
    }
  }
  for (const TrialRecord& it : convictions.trials) {
    contents.trials[it.fingerprint] = it.count;
  }
  return contents;
}

std::size_t CountRequests(const Contents& contents) {
  std::set<Fingerprint> requests;
  for (const auto& [request, upstream] : contents.crashes) {
    requests.insert(request);
  }
  return requests.size();
}

}  // namespace

std::string EncodeStoredSuspects(const SuspectDigest& convictions,
                                 WallTime written) {
  const Json json{{"written_ms", SinceEpoch(written).count()},
                  {"evidence", ToJson(convictions)}};
  return json.dump();
}

Result<SuspectDigest> ParseStoredSuspects(std::string_view text, WallTime now) {
  try {
    const Json json = Json::parse(text);
    const milliseconds written(json.at("written_ms").get<std::int64_t>());
    auto convictions =
        ParseSuspectDigest(json.at("evidence").get_ref<const std::string&>());
    if (!IsOk(convictions)) return convictions;
    // Another machine's wall clock may be ahead of this one's.
    const milliseconds age =
        std::max(milliseconds(0), SinceEpoch(now) - written);
    return Aged(std::move(ValueOf(convictions)), age);
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 std::string("stored convictions: ") + e.what()};
  }
}

DurableSuspects::DurableSuspects(asio::io_context& loop, SuspectTable& table,
                                 AsyncStore& store, const Clock& clock,
                                 RankFunction rank,
                                 const DurableSuspectsSettings& settings)
    : table_(table),
      store_(store),
      clock_(clock),
      rank_(std::move(rank)),
      settings_(settings),
      start_timer_(loop),
      read_timer_(loop),
      save_timer_(loop) {}

// --- Reading

void DurableSuspects::Start() {
  start_timer_.After(settings_.max_start_wait,
                     [this] { is_initial_read_done_ = true; });
  Read();
}

void DurableSuspects::ReadAgain() {
  if (!read_timer_.is_set()) Read();
}

void DurableSuspects::Read() {
  if (is_reading_) return;
  is_reading_ = true;
  store_.Get(kKey, [this](const Result<Stored>& stored) { OnRead(stored); });
}

void DurableSuspects::OnRead(const Result<Stored>& stored) {
  is_reading_ = false;
  if (!IsOk(stored)) {
    LOG(WARNING) << "event=suspects_not_read reason=\""
                 << ErrorOf(stored).message << "\"";
    read_timer_.After(settings_.retry_delay, [this] { Read(); });
    return;
  }
  table_.MergeInexact(Parse(ValueOf(stored)));
  is_initial_read_done_ = true;
}

SuspectDigest DurableSuspects::Parse(const Stored& stored) const {
  if (!stored.has_value()) return {};
  auto convictions = ParseStoredSuspects(stored->value, clock_.WallNow());
  if (IsOk(convictions)) return std::move(ValueOf(convictions));
  LOG(WARNING) << "event=stored_suspects_malformed reason=\""
               << ErrorOf(convictions).message << "\"";
  return {};
}

// --- Writing

void DurableSuspects::OnConvictionChanged(Fingerprint request) {
  const std::size_t rank = rank_(request);
  if (rank >= settings_.max_writers) return;
  ScheduleSave(settings_.write_delay +
               static_cast<int>(rank) * settings_.backup_delay);
}

void DurableSuspects::ScheduleSave(Duration delay) {
  const TimePoint due = clock_.Now() + delay;
  if (save_timer_.is_set() && save_due_ <= due) return;
  save_due_ = due;
  save_timer_.After(delay, [this] { Save(); });
}

void DurableSuspects::Save() {
  if (is_saving_) {
    ScheduleSave(settings_.retry_delay);
    return;
  }
  is_saving_ = true;
  store_.Get(kKey, [this](const Result<Stored>& stored) {
    is_saving_ = false;
    if (!IsOk(stored)) {
      ScheduleSave(settings_.retry_delay);
      return;
    }
    Write(ValueOf(stored));
  });
}

void DurableSuspects::Write(const Stored& stored) {
  const SuspectDigest kept = Parse(stored);
  table_.MergeInexact(kept);
  const SuspectDigest convictions = table_.Convictions(settings_.max_requests);
  const Contents contents = ContentsOf(convictions);
  if (contents == ContentsOf(kept)) return;
  is_saving_ = true;
  StoreTransaction put;
  put.conditions.push_back(
      {kKey, stored.has_value() ? stored->index : StoreIndex()});
  put.writes.push_back({kKey,
                        EncodeStoredSuspects(convictions, clock_.WallNow()),
                        StoreLeaseId()});
  store_.Commit(std::move(put), [this, requests = CountRequests(contents)](
                                    const Result<StoreOutcome>& outcome) {
    OnWritten(outcome, requests);
  });
}

void DurableSuspects::OnWritten(const Result<StoreOutcome>& outcome,
                                std::size_t requests) {
  is_saving_ = false;
  const bool is_kept =
      IsOk(outcome) && std::holds_alternative<StoreCommitted>(ValueOf(outcome));
  LOG(INFO) << "event="
            << (is_kept ? "convictions_kept" : "convictions_not_kept")
            << " requests=" << requests;
  if (!is_kept) ScheduleSave(settings_.retry_delay);
}

}  // namespace briarspread::forward
