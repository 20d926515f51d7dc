#ifndef TESTS_PRESSURE_EDGE_PROCESS_H_
#define TESTS_PRESSURE_EDGE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "platform/platform_settings.h"

namespace briarspread::platform {

/// A running briarspread-edge process with a settings file of its own. Ends
/// with this object.
class EdgeProcess final {
 public:
  /// Starts the process. `limits` are further lines of its settings file.
  EdgeProcess(const PlatformSettings& settings, const std::string& limits);
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  bool is_alive() const;
  /// Returns a value in KiB of the process's status, such as "VmHWM".
  std::uint64_t StatusKib(const std::string& name) const;
  std::size_t descriptors() const;

 private:
  std::string path_;
  mutable pid_t pid_ = -1;
};

}  // namespace briarspread::platform

#endif  // TESTS_PRESSURE_EDGE_PROCESS_H_
