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
  /// A metric without labels.
  void Counter(const std::string& name, std::uint64_t value);
  void Gauge(const std::string& name, double value);
  /// Announces a metric whose samples follow.
  void Type(const std::string& name, const char* type);
  /// `labels` may be empty.
  void Sample(const std::string& name, const std::string& labels, double value);
  /// Percentiles, sum and count of a histogram. `labels` may be empty.
  void Summary(const std::string& name, const std::string& labels,
               const HistogramSummary& summary);
  /// A counter for each entry of a map from a label's value to a count.
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

  /// A label's pair, with the characters escaped that the format reserves.
  /// Thread-safe.
  static std::string Label(std::string_view name, std::string_view value);

 private:
  std::ostringstream out_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_OBSERVE_PROMETHEUS_WRITER_H_
