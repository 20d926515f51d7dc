#ifndef BRIARSPREAD_OBSERVE_TRACE_CONTEXT_H_
#define BRIARSPREAD_OBSERVE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarspread/core/random_source.h"

namespace briarspread {

/// A position in a trace, as carried by the header `traceparent`.
/// Source: W3C Trace Context, version 00.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string trace_id;
  /// 16 lower-case hexadecimal digits.
  std::string span_id;

  /// Returns the header's value. Thread-safe.
  std::string ToHeader() const;
};

/// Parses a `traceparent` header; returns nothing if it is malformed.
/// Thread-safe.
std::optional<TraceContext> ParseTraceParent(std::string_view header);

/// Returns the context of a new child span of `parent`, or of the root span of
/// a new trace. Thread-safe.
TraceContext ChildOf(const std::optional<TraceContext>& parent,
                     RandomSource& random);

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_TRACE_CONTEXT_H_
