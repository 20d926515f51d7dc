#include "briarspread/observe/trace_context.h"

#include <algorithm>

namespace briarspread {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kHeaderLength = 55;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string RandomHex(std::size_t digits, RandomSource& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  while (text.size() < digits) {
    std::uint64_t bits = random.Next();
    for (int i = 0; i < 16 && text.size() < digits; ++i) {
      text += kDigits[bits & 0xF];
      bits >>= 4;
    }
  }
  if (IsZero(text)) text.back() = '1';
  return text;
}

}  // namespace

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

std::optional<TraceContext> ParseTraceParent(std::string_view header) {
  if (header.size() != kHeaderLength || !header.starts_with("00-")) {
    return std::nullopt;
  }
  const std::string_view trace_id = header.substr(3, kTraceIdDigits);
  const std::string_view span_id = header.substr(36, kSpanIdDigits);
  if (header[35] != '-' || header[52] != '-') return std::nullopt;
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id) ||
      !IsLowerHex(header.substr(53))) {
    return std::nullopt;
  }
  if (IsZero(trace_id) || IsZero(span_id)) return std::nullopt;
  return TraceContext{std::string(trace_id), std::string(span_id)};
}

TraceContext ChildOf(const std::optional<TraceContext>& parent,
                     RandomSource& random) {
  TraceContext child;
  child.trace_id =
      parent.has_value() ? parent->trace_id : RandomHex(kTraceIdDigits, random);
  child.span_id = RandomHex(kSpanIdDigits, random);
  return child;
}

}  // namespace briarspread
