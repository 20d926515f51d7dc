#include "briarspread/observe/prometheus_writer.h"

namespace briarspread {

void PrometheusWriter::Counter(const std::string& name, std::uint64_t value) {
  Type(name, "counter");
  out_ << name << " " << value << "\n";
}

void PrometheusWriter::Gauge(const std::string& name, double value) {
  Type(name, "gauge");
  Sample(name, "", value);
}

void PrometheusWriter::Type(const std::string& name, const char* type) {
  out_ << "# TYPE " << name << " " << type << "\n";
}

void PrometheusWriter::Sample(const std::string& name,
                              const std::string& labels, double value) {
  out_ << name;
  if (!labels.empty()) out_ << "{" << labels << "}";
  out_ << " " << value << "\n";
}

void PrometheusWriter::Summary(const std::string& name,
                               const std::string& labels,
                               const HistogramSummary& summary) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  Sample(name, prefix + "quantile=\"0.5\"", summary.p50);
  Sample(name, prefix + "quantile=\"0.95\"", summary.p95);
  Sample(name, prefix + "quantile=\"0.99\"", summary.p99);
  Sample(name + "_sum", labels, summary.sum);
  Sample(name + "_count", labels, static_cast<double>(summary.count));
}

std::string PrometheusWriter::Label(std::string_view name,
                                    std::string_view value) {
  std::string escaped(name);
  escaped += "=\"";
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c == '\n' ? ' ' : c;
  }
  escaped += '"';
  return escaped;
}

}  // namespace briarspread
