#ifndef BRIARSPREAD_HISTORY_HISTORY_WRITER_H_
#define BRIARSPREAD_HISTORY_HISTORY_WRITER_H_

#include <string>

#include "briarspread/core/result.h"
#include "briarspread/history/history.h"

namespace briarspread {

/// Appends records to a file. Each record is one write of the operating system,
/// so that a killed process loses none that it reported. Thread-safe.
class HistoryWriter {
 public:
  /// Writes nothing, where no file is wanted.
  HistoryWriter() = default;
  ~HistoryWriter();
  HistoryWriter(const HistoryWriter&) = delete;
  HistoryWriter& operator=(const HistoryWriter&) = delete;

  /// Opens `path` for appending; an empty path leaves the writer off.
  /// Precondition: not open.
  Status Open(const std::string& path);

  /// Appends one record.
  template <typename Record>
  void Write(const Record& record) {
    if (file_ >= 0) WriteLine(ToLine(record) + "\n");
  }

 private:
  void WriteLine(const std::string& line) const;

  /// The file's descriptor, or -1.
  int file_ = -1;
};

/// The wall clock in the unit of histories. Thread-safe.
HistoryTime ToHistoryTime(WallTime time);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_WRITER_H_
