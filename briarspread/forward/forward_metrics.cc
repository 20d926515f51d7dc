#include "briarspread/forward/forward_metrics.h"

namespace briarspread::forward {
namespace {

void WriteRoutes(const ForwardMetrics& metrics, PrometheusWriter& out) {
  out.Type("briarspread_answers_total", "counter");
  for (const auto& [route, counts] : metrics.routes) {
    const std::string label = PrometheusWriter::Label("route", route);
    for (const auto& [status, n] : counts.answers) {
      out.Sample("briarspread_answers_total",
                 label + "," +
                     PrometheusWriter::Label("status", std::to_string(status)),
                 static_cast<double>(n));
    }
  }
  out.Type("briarspread_answers_in_goal_total", "counter");
  for (const auto& [route, counts] : metrics.routes) {
    out.Sample("briarspread_answers_in_goal_total",
               PrometheusWriter::Label("route", route),
               static_cast<double>(counts.within_latency_goal));
  }
  out.Type("briarspread_answer_seconds", "summary");
  for (const auto& [route, counts] : metrics.routes) {
    out.Summary("briarspread_answer_seconds",
                PrometheusWriter::Label("route", route),
                counts.latency.Summarize());
  }
}

}  // namespace

void Write(const ForwardMetrics& metrics, PrometheusWriter& out) {
  WriteRoutes(metrics, out);
  out.CounterEach("briarspread_refusals_total", "reason", metrics.refusals);
  out.CounterEach("briarspread_upstream_faults_total", "fault", metrics.faults);
  out.Counter("briarspread_retries_total", metrics.retries);
  out.Counter("briarspread_resumed_streams_total", metrics.resumed_streams);
  out.Counter("briarspread_relayed_exchanges_total", metrics.relayed_exchanges);
  out.CounterEach("briarspread_relayed_for_peers_total", "outcome",
                  metrics.relayed_for_peers);
  out.Counter("briarspread_callers_gone_total", metrics.disconnected_callers);
  out.Type("briarspread_stage_seconds", "summary");
  out.Summary("briarspread_stage_seconds", "stage=\"wait\"",
              metrics.wait_time.Summarize());
  out.Summary("briarspread_stage_seconds", "stage=\"upstream\"",
              metrics.upstream_time.Summarize());
}

}  // namespace briarspread::forward
