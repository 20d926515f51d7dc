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

/// One span of a trace, written when it is destroyed. Not thread-safe.
class Span {
 public:
  ~Span();
  Span(Span&& other) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  Span& operator=(Span&&) = delete;

  /// Adds an attribute. Values must not contain secrets.
  void Set(std::string name, std::string value);
  /// The context that is sent to the next hop as `traceparent`.
  const TraceContext& context() const { return context_; }

 private:
  friend class Tracer;
  Span(Tracer* tracer, std::string name, TraceContext context,
       std::string parent_span_id, WallTime start);

  /// The tracer that writes the span; null after a move or if tracing is off.
  Tracer* tracer_;
  std::string name_;
  TraceContext context_;
  /// Empty for the root span of a trace.
  std::string parent_span_id_;
  WallTime start_;
  std::vector<std::pair<std::string, std::string>> attributes_;
};

/// Writes spans to a file as JSON lines, each in the shape of a span in OTLP's
/// JSON encoding. Thread-safe.
class Tracer {
 public:
  /// `service` is the name of the instance. Precondition: `clock` and `random`
  /// outlive this object.
  Tracer(std::string service, const Clock& clock, RandomSource& random);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Opens the file that spans are appended to. An empty path turns tracing
  /// off; `traceparent` is still propagated. Returns `kInvalidArgument` if the
  /// file cannot be opened.
  Status Open(const std::string& path);

  /// Starts a child span of `parent`, or a root span. Precondition: the span
  /// does not outlive the tracer.
  Span Start(std::string name, const std::optional<TraceContext>& parent);

 private:
  friend class Span;
  void Write(const Span& span);

  const std::string service_;
  const Clock& clock_;
  RandomSource& random_;
  /// Descriptor of the trace file, or -1.
  int fd_ = -1;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_TRACER_H_
