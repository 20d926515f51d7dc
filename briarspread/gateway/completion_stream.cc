#include "briarspread/gateway/completion_stream.h"

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

}  // namespace

std::string CompletionStream::Feed(std::string_view data) {
  partial_.append(data);
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = partial_.find(kEventEnd, begin);
    if (end == std::string::npos) break;
    ReadEvent(std::string_view{partial_}.substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  std::string complete = partial_.substr(0, begin);
  partial_.erase(0, begin);
  return complete;
}

void CompletionStream::ReadEvent(std::string_view event) {
  if (!event.starts_with(kDataPrefix)) return;
  const std::string_view payload = event.substr(kDataPrefix.size());
  if (payload == kDone) {
    whole_ = true;
    return;
  }
  const Json chunk = Json::parse(payload, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices") ||
      !chunk["choices"].is_array() || chunk["choices"].empty()) {
    malformed_ = true;
    return;
  }
  text_ += chunk["choices"][0].value("text", "");
  const std::uint32_t index = chunk.value("token_index", next_token_);
  malformed_ = malformed_ || index != next_token_;
  if (chunk.contains("weight_version")) {
    AppendToken(spans_,
                WeightVersion(chunk["weight_version"].get<std::uint64_t>()),
                index);
  } else {
    has_all_versions_ = false;
  }
  next_token_ = index + 1;
}

}  // namespace briarspread
