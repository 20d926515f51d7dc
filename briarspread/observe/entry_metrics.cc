#include "briarspread/observe/entry_metrics.h"

#include "briarspread/observe/prometheus_writer.h"

namespace briarspread {

void EntryMetrics::CountRequest(std::string_view request_class, Verdict verdict,
                                Duration latency) {
  ClassMetrics& metrics = classes_.Get(request_class);
  ++metrics.by_verdict[static_cast<std::size_t>(verdict)];
  metrics.latency.Record(SecondsOf(latency));
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
                 PrometheusWriter::Label("class", name) + "," +
                     PrometheusWriter::Label("verdict", ToString(verdict)),
                 static_cast<double>(
                     metrics->by_verdict[static_cast<std::size_t>(verdict)]));
    }
  }
  out.Type("briarspread_request_seconds", "summary");
  for (const auto& [name, metrics] : classes_.All()) {
    out.Summary("briarspread_request_seconds",
                PrometheusWriter::Label("class", name),
                metrics->latency.Summarize());
  }
  out.Type("briarspread_sample_staleness", "summary");
  out.Type("briarspread_trainer_wait_seconds", "summary");
  for (const auto& [name, metrics] : trainers_.All()) {
    const std::string label = PrometheusWriter::Label("trainer", name);
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
