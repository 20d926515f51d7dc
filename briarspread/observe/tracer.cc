#include "briarspread/observe/tracer.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr mode_t kFileMode = 0644;

/// OTLP's JSON encoding represents 64-bit integers as strings.
std::string UnixNanoseconds(WallTime time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

Json Attribute(const std::string& name, const std::string& value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

}  // namespace

Span::Span(Tracer* tracer, std::string name, TraceContext context,
           std::string parent_span_id, WallTime start)
    : tracer_(tracer),
      name_(std::move(name)),
      context_(std::move(context)),
      parent_span_id_(std::move(parent_span_id)),
      start_(start) {}

Span::Span(Span&& other) noexcept
    : tracer_(std::exchange(other.tracer_, nullptr)),
      name_(std::move(other.name_)),
      context_(std::move(other.context_)),
      parent_span_id_(std::move(other.parent_span_id_)),
      start_(other.start_),
      attributes_(std::move(other.attributes_)) {}

Span::~Span() {
  if (tracer_ != nullptr) tracer_->Write(*this);
}

void Span::Set(std::string name, std::string value) {
  if (tracer_ == nullptr) return;
  attributes_.emplace_back(std::move(name), std::move(value));
}

Tracer::Tracer(std::string service, const Clock& clock, RandomSource& random)
    : service_(std::move(service)), clock_(clock), random_(random) {}

Tracer::~Tracer() {
  if (fd_ >= 0) close(fd_);
}

Status Tracer::Open(const std::string& path) {
  if (path.empty()) return OkStatus();
  fd_ =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (fd_ >= 0) return OkStatus();
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               path + ": the trace file cannot be opened"};
}

Span Tracer::Start(std::string name,
                   const std::optional<TraceContext>& parent) {
  return Span(fd_ >= 0 ? this : nullptr, std::move(name),
              ChildOf(parent, random_),
              parent.has_value() ? parent->span_id : "", clock_.WallNow());
}

void Tracer::Write(const Span& span) {
  Json attributes = Json::array({Attribute("service.name", service_)});
  for (const auto& [name, value] : span.attributes_) {
    attributes.push_back(Attribute(name, value));
  }
  const Json json = {{"traceId", span.context_.trace_id},
                     {"spanId", span.context_.span_id},
                     {"parentSpanId", span.parent_span_id_},
                     {"name", span.name_},
                     {"startTimeUnixNano", UnixNanoseconds(span.start_)},
                     {"endTimeUnixNano", UnixNanoseconds(clock_.WallNow())},
                     {"attributes", attributes}};
  const std::string line =
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  // Writes to a file in append mode are atomic with respect to each other, so
  // no lock is needed.
  [[maybe_unused]] const ssize_t n = write(fd_, line.data(), line.size());
}

}  // namespace briarspread
