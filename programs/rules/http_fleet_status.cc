#include "programs/rules/http_fleet_status.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr milliseconds kTimeout{1000};
/// Maximum number of instances queried at the same time.
constexpr std::size_t kMaxThreads = 16;

}  // namespace

InstanceRevision HttpFleetStatus::QueryInstance(const ListedInstance& listed) {
  InstanceRevision row{InstanceId(listed.name), std::nullopt, ""};
  UpstreamRequest request;
  request.endpoint = listed.endpoint;
  request.method = "GET";
  request.path = "/v1/status";
  request.connect_timeout = kTimeout;
  request.timeout = kTimeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded) {
    row.failure = outcome.failure.empty() ? "no answer" : outcome.failure;
    return row;
  }
  const Json json = Json::parse(outcome.body, nullptr, false);
  const bool is_valid = outcome.status == kHttpOk && json.is_object() &&
                        json.contains("rules_revision") &&
                        json["rules_revision"].is_number_unsigned();
  if (!is_valid) {
    row.failure = "malformed answer, status " + std::to_string(outcome.status);
    return row;
  }
  row.revision = Revision(json["rules_revision"].get<std::uint64_t>());
  return row;
}

Result<std::vector<InstanceRevision>> HttpFleetStatus::Read() {
  const auto read = list_.Read();
  if (!IsOk(read)) return ErrorOf(read);
  std::vector<ListedInstance> live;
  for (const ListedInstance& listed : ValueOf(read)) {
    const bool is_live_entry = listed.kind == InstanceKind::kEntry &&
                               listed.state == ListedState::kLive;
    if (is_live_entry) live.push_back(listed);
  }
  std::vector<InstanceRevision> rows(live.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kMaxThreads, live.size()); ++i) {
    threads.emplace_back([&] {
      for (std::size_t n = next++; n < live.size(); n = next++) {
        rows[n] = QueryInstance(live[n]);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.instance < b.instance;
  });
  return rows;
}

}  // namespace briarspread
