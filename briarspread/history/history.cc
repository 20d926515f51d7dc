#include "briarspread/history/history.h"

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kCall[] = "call";
constexpr char kRun[] = "run";
constexpr char kLeave[] = "leave";
constexpr char kGeneration[] = "generation";
constexpr char kDelivery[] = "delivery";

CallRecord ReadCall(const Json& json) {
  CallRecord record;
  record.key = RequestKey(json.at("key").get<std::string>());
  record.request_class = RequestClass(json.at("class").get<std::string>());
  record.idempotent = json.at("idempotent").get<bool>();
  record.sent = json.at("sent").get<HistoryTime>();
  record.returned = json.at("returned").get<HistoryTime>();
  record.verdict = ParseVerdict(json.at("verdict").get<std::string>())
                       .value_or(Verdict::kMayHaveRun);
  record.answered_key = RequestKey(json.at("answered_key").get<std::string>());
  record.is_complete = json.at("whole").get<bool>();
  return record;
}

RunRecord ReadRun(const Json& json) {
  return {UpstreamId(json.at("upstream").get<std::string>()),
          RequestKey(json.at("key").get<std::string>()),
          json.at("started").get<HistoryTime>()};
}

LeaveRecord ReadLeave(const Json& json) {
  return {UpstreamId(json.at("upstream").get<std::string>()),
          json.at("at").get<HistoryTime>()};
}

GenerationRecord ReadGeneration(const Json& json) {
  return {UpstreamId(json.at("upstream").get<std::string>()),
          json.at("prompt").get<std::string>(),
          WeightVersion(json.at("version").get<std::uint64_t>()),
          json.at("begin").get<std::uint32_t>(),
          json.at("end").get<std::uint32_t>()};
}

DeliveryRecord ReadDelivery(const Json& json) {
  DeliveryRecord record;
  record.trainer = TrainerId(json.at("trainer").get<std::string>());
  record.step = StepNumber(json.at("step").get<std::uint64_t>());
  record.group = GroupId(json.at("group").get<std::uint32_t>());
  record.sample = SampleIndex(json.at("sample").get<std::uint32_t>());
  record.delivery = json.at("delivery").get<std::uint32_t>();
  record.prompt = json.at("prompt").get<std::string>();
  record.version = WeightVersion(json.at("version").get<std::uint64_t>());
  record.begin = json.at("begin").get<std::uint32_t>();
  record.end = json.at("end").get<std::uint32_t>();
  record.newest = WeightVersion(json.at("newest").get<std::uint64_t>());
  record.staleness_bound = json.at("staleness_bound").get<std::uint64_t>();
  return record;
}

/// Appends the record that `json` holds. Throws `Json::exception` if a field is
/// missing or has a different type.
void AddRecord(const Json& json, History& history) {
  const std::string kind = json.at("record").get<std::string>();
  if (kind == kCall) history.calls.push_back(ReadCall(json));
  if (kind == kRun) history.runs.push_back(ReadRun(json));
  if (kind == kLeave) history.leaves.push_back(ReadLeave(json));
  if (kind == kGeneration) {
    history.generations.push_back(ReadGeneration(json));
  }
  if (kind == kDelivery) history.deliveries.push_back(ReadDelivery(json));
}

Error UnreadableLineError(std::size_t line) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               "history line " + std::to_string(line) + " cannot be read"};
}

}  // namespace

std::string ToLine(const CallRecord& record) {
  return Json{{"record", kCall},
              {"key", record.key.value()},
              {"class", record.request_class.value()},
              {"idempotent", record.idempotent},
              {"sent", record.sent},
              {"returned", record.returned},
              {"verdict", ToString(record.verdict)},
              {"answered_key", record.answered_key.value()},
              {"whole", record.is_complete}}
      .dump();
}

std::string ToLine(const RunRecord& record) {
  return Json{{"record", kRun},
              {"upstream", record.upstream.value()},
              {"key", record.key.value()},
              {"started", record.started}}
      .dump();
}

std::string ToLine(const LeaveRecord& record) {
  return Json{{"record", kLeave},
              {"upstream", record.upstream.value()},
              {"at", record.at}}
      .dump();
}

std::string ToLine(const GenerationRecord& record) {
  return Json{{"record", kGeneration},   {"upstream", record.upstream.value()},
              {"prompt", record.prompt}, {"version", record.version.value()},
              {"begin", record.begin},   {"end", record.end}}
      .dump();
}

std::string ToLine(const DeliveryRecord& record) {
  return Json{{"record", kDelivery},
              {"trainer", record.trainer.value()},
              {"step", record.step.value()},
              {"group", record.group.value()},
              {"sample", record.sample.value()},
              {"delivery", record.delivery},
              {"prompt", record.prompt},
              {"version", record.version.value()},
              {"begin", record.begin},
              {"end", record.end},
              {"newest", record.newest.value()},
              {"staleness_bound", record.staleness_bound}}
      .dump();
}

Status AddLines(const std::string& text, History& history) {
  std::size_t begin = 0;
  std::size_t line = 0;
  while (true) {
    const std::size_t end = text.find('\n', begin);
    if (end == std::string::npos) return OkStatus();
    ++line;
    const Json json = Json::parse(
        text.begin() + static_cast<std::ptrdiff_t>(begin),
        text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
    if (!json.is_object()) return UnreadableLineError(line);
    try {
      AddRecord(json, history);
    } catch (const Json::exception&) {
      return UnreadableLineError(line);
    }
    begin = end + 1;
  }
}

}  // namespace briarspread
