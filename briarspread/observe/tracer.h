#ifndef BRIARSPREAD_OBSERVE_TRACER_H_
#define BRIARSPREAD_OBSERVE_TRACER_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/result.h"
#include "briarspread/observe/trace_context.h"

namespace briarspread {

class Tracer;

/// One hop of a request, written when it ends. Not thread-safe.
class Span {
 public:
  ~Span();
  Span(Span&& other) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  Span& operator=(Span&&) = delete;

  /// Adds a detail. Values must hold no secrets.
  void Set(std::string name, std::string value);
  /// What the next hop is given as its `traceparent`.
  const TraceContext& context() const { return context_; }

 private:
  friend class Tracer;
  Span(Tracer* tracer, std::string name, TraceContext context,
       std::string parent_span_id, WallTime start);

  /// Writes the span; null once moved from or where tracing is off.
  Tracer* tracer_;
  std::string name_;
  TraceContext context_;
  /// Empty at the start of a trace.
  std::string parent_span_id_;
  WallTime start_;
  std::vector<std::pair<std::string, std::string>> attributes_;
};

/// Writes spans as JSON lines, each shaped like a span of OTLP's JSON.
/// Thread-safe.
class Tracer {
 public:
  /// `service` names the instance. Preconditions: the rest outlives this.
  Tracer(std::string service, const Clock& clock, RandomSource& random);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Opens the file that spans are appended to; an empty path leaves tracing
  /// off, though `traceparent` is still passed on.
  Status Open(const std::string& path);

  /// Starts a span below `parent`. The span must not outlive the tracer.
  Span Start(std::string name, const std::optional<TraceContext>& parent);

 private:
  friend class Span;
  void Write(const Span& span);

  const std::string service_;
  const Clock& clock_;
  RandomSource& random_;
  /// The file's descriptor, or -1.
  int file_ = -1;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_TRACER_H_
