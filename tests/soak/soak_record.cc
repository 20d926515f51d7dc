#include "tests/soak/soak_record.h"

#include <algorithm>
#include <iostream>

#include "briarspread/core/rendezvous.h"

namespace briarspread::soak {
namespace {

/// No item of a job may start later than this after its cancellation was
/// acknowledged.
constexpr milliseconds kCancelTime{3000};
/// Time after which every instance must know an accepted job.
constexpr milliseconds kSettleTime{1000};
/// Minimum time between orders of two different holders.
constexpr milliseconds kLease{3000};
/// Returns whether a response with this status guarantees that the request was
/// not run.
bool GuaranteesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

std::string SoakRecord::BodyOf(const std::string& id) {
  return "body of " + id;
}

std::string SoakRecord::EventOf(const std::string& item, std::uint64_t event) {
  return item + "/" + std::to_string(event);
}

std::uint64_t SoakRecord::EventCountOf(const std::string& item) {
  constexpr std::uint64_t kMost = 40;
  return 1 + StableHash(item) % kMost;
}

void SoakRecord::Fail(const std::string& promise, const std::string& what) {
  violations_.push_back(promise + ": " + what);
  std::cerr << "soak: " << violations_.back() << "\n";
}

// --- Live requests

void SoakRecord::RecordSent(const std::string& id, bool may_run_again) {
  requests_[id].may_run_again = may_run_again;
}

void SoakRecord::RecordRun(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    Fail("UNASKED", "a request ran that was not sent: " + id);
    return;
  }
  ++checked_;
  Request& request = it->second;
  ++request.runs;
  if (request.may_run_again) return;
  if (request.runs > 1) Fail("TWICE", "request " + id);
  if (request.is_refused) Fail("REFUSED", "request " + id + " ran afterwards");
}

void SoakRecord::RecordAnswer(const std::string& id, int status,
                              const std::string& body) {
  ++checked_;
  Request& request = requests_[id];
  const bool is_success = status >= 200 && status < 300;
  if (is_success && body != BodyOf(id)) {
    Fail("MIXED", "request " + id + " got '" + body + "'");
  }
  if (!GuaranteesNotRun(status)) return;
  request.is_refused = true;
  if (!request.may_run_again && request.runs > 0) {
    Fail("REFUSED", "request " + id + " had run");
  }
}

// --- Batch jobs

void SoakRecord::RecordSubmitted(const std::string& job,
                                 std::uint64_t oldest_allowed,
                                 const std::vector<std::string>& items) {
  jobs_[job].items = items;
  jobs_[job].oldest_allowed = oldest_allowed;
  for (const std::string& item : items) items_[item].job = job;
}

void SoakRecord::RecordAccepted(const std::string& job) {
  if (!jobs_[job].accepted.has_value()) jobs_[job].accepted = clock_.Now();
}

void SoakRecord::RecordRefused(const std::string& job) {
  jobs_[job].is_refused = true;
  for (const std::string& item : jobs_[job].items) {
    if (!items_[item].event_versions.empty()) {
      Fail("REFUSED", "item " + item + " had run");
    }
  }
}

void SoakRecord::RecordEnded(const std::string& job) {
  if (!jobs_[job].ended.has_value()) jobs_[job].ended = clock_.Now();
}

void SoakRecord::RecordItemRun(const std::string& item) {
  const auto it = items_.find(item);
  if (it == items_.end()) {
    Fail("UNASKED", "an item ran that was not submitted: " + item);
    return;
  }
  ++checked_;
  const Job& job = jobs_[it->second.job];
  if (job.is_refused) Fail("REFUSED", "item " + item + " runs");
  const bool is_late = job.ended.has_value() &&
                       clock_.Now() - *job.ended > kCancelTime + own_lag_;
  if (is_late) {
    Fail("UNASKED", "item " + item + " runs after its job's end");
  }
}

void SoakRecord::RecordEvent(const std::string& item, std::uint64_t event,
                             std::uint64_t version) {
  items_[item].event_versions[event].insert(version);
}

void SoakRecord::RecordScored(const std::string& item) {
  const auto it = items_.find(item);
  if (it == items_.end()) return;
  if (it->second.event_versions.size() < EventCountOf(item)) {
    Fail("MIXED", "item " + item + " was scored before its text was complete");
  }
  it->second.is_scored = true;
}

void SoakRecord::CheckVersions(const std::string& job,
                               const ReadResult& result) {
  const auto& event_versions = items_[result.item].event_versions;
  const std::set<std::uint64_t> listed(result.versions.begin(),
                                       result.versions.end());
  std::set<std::uint64_t> possible;
  for (const auto& [event, versions] : event_versions) {
    possible.insert(versions.begin(), versions.end());
    const bool is_told =
        std::any_of(versions.begin(), versions.end(),
                    [&](std::uint64_t v) { return listed.contains(v); });
    if (!is_told) {
      Fail("VERSION", "item " + result.item +
                          " does not list the version of "
                          "event " +
                          std::to_string(event));
    }
  }
  for (const std::uint64_t version : listed) {
    if (!possible.contains(version)) {
      Fail("VERSION", "item " + result.item + " lists version " +
                          std::to_string(version) + " that produced no event");
    }
    if (version < jobs_[job].oldest_allowed) {
      Fail("VERSION", "item " + result.item + " has a version that is too old");
    }
  }
}

void SoakRecord::CheckResult(const std::string& job, const ReadResult& result) {
  Item& item = items_[result.item];
  if (item.job != job) {
    Fail("MIXED", "item " + result.item + " of another job");
  }
  if (item.is_listed) Fail("TWICE", "item " + result.item + " listed twice");
  item.is_listed = true;
  if (!result.is_complete) {
    const bool has_ended = jobs_[job].ended.has_value();
    // No item of the soak test fails or reaches its time limit, so that an item
    // of a job that has not ended must not be abandoned.
    if (!has_ended) Fail("MIXED", "item " + result.item + " given up");
    return;
  }
  std::string whole;
  for (std::uint64_t n = 1; n <= EventCountOf(result.item); ++n) {
    if (n > 1) whole += "\n";
    whole += EventOf(result.item, n);
  }
  if (result.text != whole) Fail("MIXED", "text of item " + result.item);
  if (result.score != "score-" + result.item || !item.is_scored) {
    Fail("MIXED", "score of item " + result.item);
  }
  CheckVersions(job, result);
}

void SoakRecord::RecordPage(const std::string& job, std::size_t after,
                            std::size_t total,
                            const std::vector<ReadResult>& results) {
  Job& known = jobs_[job];
  if (total != known.items.size()) {
    Fail("MIXED", "total of job " + job + " is " + std::to_string(total));
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    ++checked_;
    const std::size_t position = after + i;
    if (position < known.results.size()) {
      if (known.results[position] == results[i]) continue;
      Fail("TWICE", "position " + std::to_string(position) + " of job " + job +
                        " has changed");
      continue;
    }
    known.results.push_back(results[i]);
    CheckResult(job, results[i]);
  }
}

void SoakRecord::RecordUnknownJob(const std::string& job) {
  ++checked_;
  const auto& accepted = jobs_[job].accepted;
  if (accepted.has_value() && clock_.Now() - *accepted > kSettleTime) {
    Fail("LOST", "job " + job + " was reported not to exist");
  }
}

bool SoakRecord::IsAccepted(const std::string& job) const {
  return jobs_.at(job).accepted.has_value();
}

std::vector<std::string> SoakRecord::AcceptedJobs() const {
  std::vector<std::string> accepted;
  for (const auto& [id, job] : jobs_) {
    if (job.accepted.has_value()) accepted.push_back(id);
  }
  return accepted;
}

std::size_t SoakRecord::ResultCount(const std::string& job) const {
  return jobs_.at(job).results.size();
}

// --- Orders

void SoakRecord::RecordOrder(const std::string& replica,
                             const ReceivedOrder& order) {
  ++checked_;
  std::vector<ReceivedOrder>& seen = orders_[replica];
  if (!seen.empty()) {
    const ReceivedOrder& last = seen.back();
    if (order.fence < last.fence) {
      Fail("ONE", replica + " got a lower fencing number from " + order.holder);
    }
    if (order.holder != last.holder && order.fence == last.fence) {
      Fail("ONE", replica + " got the same fencing number from two holders");
    }
    if (order.holder != last.holder &&
        order.when - last.when + own_lag_ < kLease) {
      Fail("ONE", replica + " got orders from " + last.holder + " and " +
                      order.holder + " within the lease");
    }
  }
  seen.push_back(order);
}

}  // namespace briarspread::soak
