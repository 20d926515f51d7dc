#include "tests/pressure/edge_process.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

namespace briarspread::platform {
namespace {

std::string ToText(const Endpoint& at) {
  return at.host + ":" + std::to_string(at.port);
}

std::string WriteSettings(const PlatformSettings& settings,
                          const std::string& limits) {
  std::string path =
      (std::filesystem::temp_directory_path() /
       ("pressure-" + std::to_string(settings.frontend->port) + ".conf"))
          .string();
  std::ofstream out(path);
  out << "NodeName=" << settings.instance << "\nIp=127.0.0.1\nZone=z\nRegion=r"
      << "\nZones.z=r\nListen.Frontend=" << ToText(*settings.frontend)
      << "\nListen.Ready=" << ToText(*settings.ready)
      << "\nListen.ControlPlane=" << ToText(*settings.peer)
      << "\nPlatform.Address=" << ToText(settings.store) << "\n"
      << limits;
  REQUIRE(out.flush());
  return path;
}

}  // namespace

EdgeProcess::EdgeProcess(const PlatformSettings& settings,
                         const std::string& limits)
    : path_(WriteSettings(settings, limits)) {
  std::string program = BRIARSPREAD_EDGE;
  std::string variable = "BRIARSPREAD_SETTINGS=" + path_;
  std::vector<char*> arguments = {program.data(), nullptr};
  std::vector<char*> environment = {variable.data(), nullptr};
  REQUIRE(posix_spawn(&pid_, program.c_str(), nullptr, nullptr,
                      arguments.data(), environment.data()) == 0);
}

EdgeProcess::~EdgeProcess() {
  if (is_alive()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ec;
  std::filesystem::remove(path_, ec);
}

bool EdgeProcess::is_alive() const {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != 0) pid_ = -1;
  return pid_ > 0;
}

std::uint64_t EdgeProcess::StatusKib(const std::string& name) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name + ":")) {
      return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10);
    }
  }
  FAIL("no " << name << " of process " << pid_);
  return 0;
}

std::size_t EdgeProcess::descriptors() const {
  const auto all = std::filesystem::directory_iterator(
      "/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

}  // namespace briarspread::platform
