#include "briarspread/weights/rollout_record.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace briarspread {
namespace {

using Json = nlohmann::json;

/// Maximum number of attempts of `RequestRollout` to write the record.
constexpr int kMaxTries = 5;
constexpr std::size_t kReplicaFields = 3;

Json ToJson(const ReplicaRecord& replica) {
  return Json::array({replica.id.value(), static_cast<int>(replica.progress),
                      replica.failures});
}

ReplicaRecord ReplicaFromJson(const Json& json) {
  if (!json.is_array() || json.size() != kReplicaFields) {
    throw std::invalid_argument("a replica in a rollout has the wrong shape");
  }
  const auto progress = json[1].get<int>();
  if (progress < 0 || progress > static_cast<int>(ReplicaProgress::kFailed)) {
    throw std::invalid_argument("a replica in a rollout has no known progress");
  }
  ReplicaRecord replica;
  replica.id = UpstreamId(json[0].get<std::string>());
  replica.progress = static_cast<ReplicaProgress>(progress);
  replica.failures = json[2].get<std::uint32_t>();
  return replica;
}

RolloutRecord FromJson(const Json& json) {
  RolloutRecord record;
  record.model = ModelName(json.at("model").get<std::string>());
  record.version = WeightVersion(json.at("version").get<std::uint64_t>());
  record.wave = json.at("wave").get<std::uint32_t>();
  record.fencing = FencingNumber(json.at("fencing").get<std::uint64_t>());
  record.operation = OperationId(json.at("operation").get<std::string>());
  for (const Json& it : json.at("pulls")) {
    record.pulls.push_back({RegionId(it.at("region").get<std::string>()),
                            UpstreamId(it.at("seed").get<std::string>())});
  }
  for (const Json& it : json.at("replicas")) {
    record.replicas.push_back(ReplicaFromJson(it));
  }
  return record;
}

Error NotRunError(ErrorCode code, const std::string& message) {
  return Error{code, Verdict::kNotRun, message};
}

}  // namespace

std::string RolloutKey(const ModelName& model) {
  return "briarspread/weights/" + model.value();
}

std::string EncodeRollout(const RolloutRecord& record) {
  Json pulls = Json::array();
  for (const RegionPull& pull : record.pulls) {
    pulls.push_back(
        {{"region", pull.region.value()}, {"seed", pull.seed.value()}});
  }
  Json replicas = Json::array();
  for (const ReplicaRecord& it : record.replicas) {
    replicas.push_back(ToJson(it));
  }
  return Json{{"model", record.model.value()},
              {"version", record.version.value()},
              {"wave", record.wave},
              {"fencing", record.fencing.value()},
              {"operation", record.operation.value()},
              {"pulls", pulls},
              {"replicas", replicas}}
      .dump();
}

Result<RolloutRecord> DecodeRollout(std::string_view text) {
  try {
    return FromJson(Json::parse(text));
  } catch (const Json::exception& e) {
    return NotRunError(ErrorCode::kInvalidArgument, e.what());
  } catch (const std::invalid_argument& e) {
    return NotRunError(ErrorCode::kInvalidArgument, e.what());
  }
}

Status RequestRollout(KeyValueStore& store, const ModelName& model,
                      WeightVersion version, const OperationId& operation) {
  Error last = NotRunError(ErrorCode::kConflict, "other writers were faster");
  Verdict verdict = Verdict::kNotRun;
  for (int i = 0; i < kMaxTries; ++i) {
    const auto read = store.Get(RolloutKey(model));
    if (!IsOk(read)) {
      last = ErrorOf(read);
      break;
    }
    StoreIndex index;
    RolloutRecord record;
    if (const auto& stored = ValueOf(read); stored.has_value()) {
      index = stored->index;
      const auto decoded = DecodeRollout(stored->value);
      if (IsOk(decoded)) record = ValueOf(decoded);
    }
    if (record.version == version && record.model == model) return OkStatus();
    if (record.version >= version) {
      return NotRunError(ErrorCode::kStale,
                         "version " + std::to_string(record.version.value()) +
                             " is being rolled out; a version must be higher");
    }
    // Pulls of the previous version may still be in progress, so `pulls` is
    // kept.
    record.replicas.clear();
    record.wave = 0;
    record.model = model;
    record.version = version;
    record.operation = operation;
    const auto written =
        store.CompareAndSwap(RolloutKey(model), EncodeRollout(record), index);
    if (IsOk(written)) {
      if (ValueOf(written) == SwapOutcome::kSwapped) return OkStatus();
      continue;
    }
    // If the response was lost, the next attempt reads whether the write was
    // applied.
    last = ErrorOf(written);
    verdict = Combine(verdict, last.verdict);
  }
  last.verdict = verdict;
  return last;
}

}  // namespace briarspread
