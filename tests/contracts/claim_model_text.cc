#include <initializer_list>

#include "claim_model.h"

namespace briarspread::testing {
namespace {

void AppendNumbers(std::string& out,
                   std::initializer_list<std::int64_t> numbers) {
  for (const std::int64_t it : numbers) {
    out.append(reinterpret_cast<const char*>(&it), sizeof it);
  }
}

void AppendClaims(std::string& out, const std::vector<Claim>& claims) {
  for (const Claim& it : claims) out += it.key.value();
  out += '/';
}

void AppendKeys(std::string& out, const std::set<RequestKey>& keys) {
  for (const RequestKey& it : keys) out += it.value();
  out += '/';
}

void AppendSegment(std::string& out, const ClaimSegment& segment) {
  out += segment.operation.value();
  AppendNumbers(out, {segment.is_seal, segment.is_complete, segment.has_gap,
                      segment.standby.has_value()});
  AppendClaims(out, segment.claims);
}

void AppendBatch(std::string& out, const ClaimBatch& batch) {
  AppendNumbers(out,
                {static_cast<std::int64_t>(batch.sequence),
                 static_cast<std::int64_t>(batch.granted_ack), batch.is_reset});
  AppendClaims(out, batch.claims);
}

void AppendService(std::string& out, const Service& service, TimePoint now) {
  out += service.home.DebugString(now);
  out += service.keys.DebugString();
  AppendKeys(out, service.claiming);
  AppendKeys(out, service.committing);
  AppendKeys(out, service.runnable);
  if (service.append.has_value()) {
    AppendSegment(out, service.append->segment);
  }
  const auto result = service.append_result;
  AppendNumbers(out, {result ? static_cast<int>(*result) : -1,
                      service.started_after_gap});
  if (service.batch.has_value()) AppendBatch(out, *service.batch);
  if (service.batch_reply.has_value()) {
    AppendNumbers(out,
                  {static_cast<int>(service.batch_reply->outcome),
                   static_cast<std::int64_t>(service.batch_reply->sequence),
                   static_cast<std::int64_t>(service.batch_reply->ack)});
  }
}

}  // namespace

std::string ClaimModel::StateText() const {
  std::string out;
  AppendNumbers(
      out, {now_.time_since_epoch().count(), store_up_, has_gap_,
            static_cast<std::int64_t>(table_term_), budget_.crashes,
            budget_.outages, budget_.lost_store_responses, budget_.lost_batches,
            budget_.refused_runs, budget_.syncs});
  for (int p = 0; p < kProcesses; ++p) {
    AppendNumbers(out, {p, alive_[p], static_cast<int>(phases_[p])});
    AppendNumbers(out, {sealed_[p].is_complete, sealed_[p].has_gap,
                        sealed_[p].standby.has_value()});
    AppendClaims(out, sealed_[p].claims);
    if (services_[p].has_value()) AppendService(out, *services_[p], now_);
  }
  if (copy_.has_value()) out += copy_->DebugString(now_);
  for (const auto& [term, log] : logs_) {
    AppendNumbers(out, {static_cast<std::int64_t>(term)});
    for (const ClaimSegment& it : log) AppendSegment(out, it);
  }
  for (const auto& [term, it] : late_appends_) {
    AppendNumbers(out, {static_cast<std::int64_t>(term)});
    AppendSegment(out, it.segment);
  }
  for (const auto& it : late_batches_) AppendBatch(out, it);
  for (const auto& [key, n] : sends_left_) AppendNumbers(out, {n});
  for (const auto& [key, n] : runs_) {
    out += key.value();
    AppendNumbers(out, {n});
  }
  return out;
}

}  // namespace briarspread::testing
