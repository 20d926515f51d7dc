#include "briarspread/observe/entry_metrics.h"

#include <sstream>

namespace briarspread {
namespace {

/// Writes metrics in the text format of Prometheus, version 0.0.4.
class PrometheusWriter {
 public:
  void Counter(const std::string& name, std::uint64_t value) {
    Type(name, "counter");
    out_ << name << " " << value << "\n";
  }
  void Type(const std::string& name, const char* type) {
    out_ << "# TYPE " << name << " " << type << "\n";
  }
  void Sample(const std::string& name, const std::string& labels,
              double value) {
    out_ << name << "{" << labels << "} " << value << "\n";
  }
  void Summary(const std::string& name, const std::string& labels,
               const HistogramSummary& summary) {
    Sample(name, labels + ",quantile=\"0.5\"", summary.p50);
    Sample(name, labels + ",quantile=\"0.95\"", summary.p95);
    Sample(name, labels + ",quantile=\"0.99\"", summary.p99);
    Sample(name + "_sum", labels, summary.sum);
    Sample(name + "_count", labels, static_cast<double>(summary.count));
  }
  std::string Text() const { return out_.str(); }

 private:
  std::ostringstream out_;
};

/// A label's pair, with the characters escaped that the format reserves.
std::string Label(const std::string& name, const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c == '\n' ? ' ' : c;
  }
  return name + "=\"" + escaped + "\"";
}

}  // namespace

void EntryMetrics::CountRequest(std::string_view request_class, Verdict verdict,
                                Duration latency) {
  ClassMetrics& metrics = classes_.Of(request_class);
  ++metrics.by_verdict[static_cast<std::size_t>(verdict)];
  metrics.latency.Record(std::chrono::duration<double>(latency).count());
}

std::string EntryMetrics::ToPrometheus() const {
  PrometheusWriter out;
  out.Counter("briarspread_exchanges_total", exchanges);
  out.Counter("briarspread_retries_total", retries);
  out.Counter("briarspread_resumed_streams_total", resumed_streams);
  out.Counter("briarspread_dropped_answers_total", dropped_answers);
  out.Counter("briarspread_refused_total", refused);
  out.Counter("briarspread_forwarded_total", forwarded);
  out.Counter("briarspread_store_calls_total", store_calls);
  out.Type("briarspread_requests_total", "counter");
  for (const auto& [name, metrics] : classes_.All()) {
    for (const Verdict verdict :
         {Verdict::kAnswered, Verdict::kNotRun, Verdict::kMayHaveRun}) {
      out.Sample("briarspread_requests_total",
                 Label("class", name) + "," +
                     Label("verdict", std::string(ToString(verdict))),
                 static_cast<double>(
                     metrics->by_verdict[static_cast<std::size_t>(verdict)]));
    }
  }
  out.Type("briarspread_request_seconds", "summary");
  for (const auto& [name, metrics] : classes_.All()) {
    out.Summary("briarspread_request_seconds", Label("class", name),
                metrics->latency.Summarize());
  }
  out.Type("briarspread_sample_staleness", "summary");
  out.Type("briarspread_trainer_wait_seconds", "summary");
  for (const auto& [name, metrics] : trainers_.All()) {
    const std::string label = Label("trainer", name);
    out.Sample("briarspread_samples_total", label,
               static_cast<double>(metrics->samples));
    out.Sample("briarspread_samples_discarded_stale_total", label,
               static_cast<double>(metrics->discarded_stale));
    out.Summary("briarspread_sample_staleness", label,
                metrics->staleness.Summarize());
    out.Summary("briarspread_trainer_wait_seconds", label,
                metrics->wait.Summarize());
  }
  return out.Text();
}

}  // namespace briarspread
