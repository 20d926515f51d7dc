#include "briarspread/history/history_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <cassert>

namespace briarspread {
namespace {

constexpr mode_t kFileMode = 0644;

}  // namespace

HistoryWriter::~HistoryWriter() {
  if (file_ >= 0) close(file_);
}

Status HistoryWriter::Open(const std::string& path) {
  assert(file_ < 0);
  if (path.empty()) return OkStatus();
  file_ =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (file_ >= 0) return OkStatus();
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               path + ": cannot be opened for appending"};
}

void HistoryWriter::WriteLine(const std::string& line) const {
  // Writes to a file opened with O_APPEND are atomic with respect to each
  // other, so no lock is needed.
  [[maybe_unused]] const ssize_t n = write(file_, line.data(), line.size());
}

HistoryTime ToHistoryTime(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

}  // namespace briarspread
