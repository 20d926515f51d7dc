#include "briarspread/batch/job_validation.h"

#include "briarspread/proxy/head_validation.h"

namespace briarspread::batch {
namespace {

using proxy::IsHeaderValue;
using proxy::IsRequestTarget;

bool IsName(const std::string& text) {
  return !text.empty() && IsHeaderValue(text);
}

Error Invalid(const std::string& what) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun, what};
}

}  // namespace

std::optional<std::string> FindInvalidField(const ItemSpec& item) {
  if (!IsName(item.id.value())) return "id";
  if (!IsRequestTarget(item.path)) return "path";
  if (!IsHeaderValue(item.group.value())) return "group";
  for (const proxy::Header& line : item.headers) {
    if (!proxy::IsToken(line.name)) return "header name \"" + line.name + "\"";
    if (!IsHeaderValue(line.value)) return "value of header " + line.name;
  }
  if (!item.reward.has_value()) return std::nullopt;
  if (!IsName(item.reward->id)) return "id of the reward call";
  if (!IsName(item.reward->host)) return "host of the reward call";
  if (!IsRequestTarget(item.reward->path)) return "path of the reward call";
  return std::nullopt;
}

Status Validate(const JobSpec& spec) {
  if (!IsName(spec.id.value())) return Invalid("the job's id is invalid");
  if (!IsHeaderValue(spec.host)) return Invalid("the job's host is invalid");
  if (!IsHeaderValue(spec.model.value())) {
    return Invalid("the job's model is invalid");
  }
  if (!IsHeaderValue(spec.account.value())) {
    return Invalid("the job's account is invalid");
  }
  for (const ItemSpec& item : spec.items) {
    const auto field = FindInvalidField(item);
    if (!field.has_value()) continue;
    return Invalid("item \"" + item.id.value() + "\": invalid " + *field);
  }
  return OkStatus();
}

}  // namespace briarspread::batch
