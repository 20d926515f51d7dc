#ifndef BRIARSPREAD_HISTORY_HISTORY_WRITER_H_
#define BRIARSPREAD_HISTORY_HISTORY_WRITER_H_

#include <string>

#include "briarspread/core/result.h"
#include "briarspread/history/history.h"

namespace briarspread {

/// Appends records to a file. Each record is written with one unbuffered system
/// call, so that a killed process loses no record that was written. `Write` is
/// thread-safe; `Open` is not.
class HistoryWriter {
 public:
  /// Creates a writer without a file, which discards all records.
  HistoryWriter() = default;
  ~HistoryWriter();
  HistoryWriter(const HistoryWriter&) = delete;
  HistoryWriter& operator=(const HistoryWriter&) = delete;

  /// Opens `path` for appending. With an empty path, records are discarded.
  /// Returns `kInvalidArgument` if the file cannot be opened. Precondition: no
  /// file is open.
  Status Open(const std::string& path);

  /// Appends a record, or discards it if no file is open. Write errors are
  /// ignored.
  template <typename Record>
  void Write(const Record& record) {
    if (file_ >= 0) WriteLine(ToLine(record) + "\n");
  }

 private:
  void WriteLine(const std::string& line) const;

  /// The descriptor of the file, or -1 if none is open.
  int file_ = -1;
};

/// Converts a wall-clock time to milliseconds since the Unix epoch.
/// Thread-safe.
HistoryTime ToHistoryTime(WallTime time);

}  // namespace briarspread

#endif  // BRIARSPREAD_HISTORY_HISTORY_WRITER_H_
