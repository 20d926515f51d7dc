#include "briarspread/rollout/step_spec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "briarspread/core/rendezvous.h"
#include "briarspread/rollout/cursor.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kDefaultModel[] = "rollout";
constexpr std::uint64_t kMaxStalenessBound = 1'000'000;

/// Reads fields of one JSON object and records the first error.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string prefix)
      : object_(object), prefix_(std::move(prefix)) {}

  std::uint64_t Number(const char* name, std::uint64_t fallback,
                       std::uint64_t lowest, std::uint64_t highest) {
    const auto it = object_.find(name);
    if (it == object_.end()) return fallback;
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() < lowest ||
        it->get<std::uint64_t>() > highest) {
      Fail(name, it->dump(),
           "a whole number from " + std::to_string(lowest) + " to " +
               std::to_string(highest));
      return fallback;
    }
    return it->get<std::uint64_t>();
  }
  std::string Text(const char* name, const char* fallback) {
    const auto it = object_.find(name);
    if (it == object_.end()) return fallback;
    if (!it->is_string()) {
      Fail(name, it->dump(), "a string");
      return fallback;
    }
    return it->get<std::string>();
  }
  void Fail(const char* name, std::string found, const std::string& allowed) {
    constexpr std::size_t kMaxQuoted = 80;
    if (found.size() > kMaxQuoted) found.resize(kMaxQuoted);
    if (!error_.empty()) return;
    error_ = prefix_ + name + ": found " + found + ", allowed: " + allowed;
  }
  const std::string& error() const { return error_; }

 private:
  const Json& object_;
  const std::string prefix_;
  std::string error_;
};

Error Invalid(const std::string& message) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, message};
}

/// Reads the groups into `spec`. Returns an error message, or an empty string
/// on success.
std::string ReadGroups(const Json& groups, StepSpec& spec) {
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const std::string place = "groups[" + std::to_string(i) + "]";
    if (!groups[i].is_object()) return place + ": allowed: an object";
    ObjectReader reader(groups[i], place + ".");
    if (!groups[i].contains("id")) reader.Fail("id", "nothing", "a number");
    const std::uint64_t id =
        reader.Number("id", 0, 0, std::numeric_limits<GroupId::RepType>::max());
    std::string prompt = reader.Text("prompt", "");
    if (!reader.error().empty()) return reader.error();
    spec.groups.push_back(
        {GroupId(static_cast<GroupId::RepType>(id)), std::move(prompt)});
  }
  std::sort(spec.groups.begin(), spec.groups.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  const auto duplicate = std::adjacent_find(
      spec.groups.begin(), spec.groups.end(),
      [](const auto& a, const auto& b) { return a.id == b.id; });
  if (duplicate == spec.groups.end()) return "";
  return "groups: id " + std::to_string(duplicate->id.value()) +
         " stands twice";
}

}  // namespace

Result<StepSpec> ParseStepSpec(std::string_view body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return Invalid("the body is not a JSON object");
  ObjectReader reader(json, "");
  StepSpec spec;
  spec.model = ModelName(reader.Text("model", kDefaultModel));
  spec.max_tokens = static_cast<std::uint32_t>(
      reader.Number("max_tokens", spec.max_tokens, 1, kMaxTokensPerSample));
  spec.samples_per_group = static_cast<std::uint32_t>(reader.Number(
      "samples_per_group", spec.samples_per_group, 1, kMaxSamplesPerGroup));
  spec.staleness_bound =
      reader.Number("staleness_bound", 0, 0, kMaxStalenessBound);
  spec.scorer = ServiceName(reader.Text("scorer", ""));
  if (!reader.error().empty()) return Invalid(reader.error());
  const auto groups = json.find("groups");
  if (groups == json.end() || !groups->is_array() || groups->empty() ||
      groups->size() > kMaxGroupsPerStep) {
    return Invalid("groups: allowed: an array of 1 to " +
                   std::to_string(kMaxGroupsPerStep) + " objects");
  }
  const std::string error = ReadGroups(*groups, spec);
  if (!error.empty()) return Invalid(error);
  if (spec.SampleCount() > kMaxSamplesPerStep) {
    return Invalid("groups times samples_per_group: found " +
                   std::to_string(spec.SampleCount()) + ", allowed: at most " +
                   std::to_string(kMaxSamplesPerStep));
  }
  return spec;
}

std::uint64_t DigestOf(const StepSpec& spec) {
  // Each text is preceded by its length, so that different steps never give the
  // same bytes.
  std::string bytes;
  const auto add_number = [&bytes](std::uint64_t n) {
    bytes += std::to_string(n) + ';';
  };
  const auto add_text = [&](const std::string& text) {
    add_number(text.size());
    bytes += text;
  };
  add_text(spec.model.value());
  add_number(spec.max_tokens);
  add_number(spec.samples_per_group);
  add_number(spec.staleness_bound);
  add_text(spec.scorer.value());
  for (const GroupSpec& group : spec.groups) {
    add_number(group.id.value());
    add_text(group.prompt);
  }
  return StableHash(bytes);
}

}  // namespace briarspread
