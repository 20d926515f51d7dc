#ifndef BRIARSPREAD_OBSERVE_PROMETHEUS_WRITER_H_
#define BRIARSPREAD_OBSERVE_PROMETHEUS_WRITER_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "briarspread/observe/histogram.h"

namespace briarspread {

/// Writes metrics in the text format of Prometheus, version 0.0.4. Not
/// thread-safe.
class PrometheusWriter {
 public:
  /// Writes a metric without labels, including its type.
  void Counter(const std::string& name, std::uint64_t value);
  void Gauge(const std::string& name, double value);
  /// Writes the type of a metric; its samples follow.
  void Type(const std::string& name, const char* type);
  /// Writes one sample. `labels` may be empty.
  void Sample(const std::string& name, const std::string& labels, double value);
  /// Writes the percentiles, sum and count of a histogram. `labels` may be
  /// empty.
  void Summary(const std::string& name, const std::string& labels,
               const HistogramSummary& summary);
  /// Writes a counter with one sample for each entry of a map from a label's
  /// value to a count.
  template <typename Counts>
  void CounterEach(const std::string& name, const std::string& label,
                   const Counts& counts) {
    Type(name, "counter");
    for (const auto& [value, n] : counts) {
      std::ostringstream text;
      text << value;
      Sample(name, Label(label, text.str()), static_cast<double>(n));
    }
  }

  std::string Text() const { return out_.str(); }

  /// Returns the pair `name="value"`. Backslashes and quotes in the value are
  /// escaped, line feeds are replaced by blanks. Thread-safe.
  static std::string Label(std::string_view name, std::string_view value);

 private:
  std::ostringstream out_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_PROMETHEUS_WRITER_H_
