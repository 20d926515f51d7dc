#include "bench/forward_bench/cost_probe.h"

#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

namespace briarspread::bench {
namespace {

constexpr char kBody[] = R"({"sku":"a-1"})";

double ResidentKilobytes(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string name; in >> name;) {
    double value = 0;
    if (name == "VmRSS:" && in >> value) return value;
  }
  return 0;
}

/// Returns the processor time that a process has used, in seconds.
double ProcessorSeconds(int pid) {
  // Of the fields after the process name in parentheses, the 12th and 13th are
  // the user and system time in clock ticks.
  constexpr int kUserField = 12;
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 1; i < kUserField; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::unique_ptr<httplib::Client> CreateClient(
    const CostProbeSettings& settings) {
  auto client = std::make_unique<httplib::Client>(settings.gateway.host,
                                                  settings.gateway.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

bool SendRequest(httplib::Client& client, const CostProbeSettings& settings) {
  const auto answer = client.Post(settings.path, kBody, "application/json");
  return answer && answer->status == 200;
}

/// Sends requests from concurrent callers, each over its own persistent
/// connection. Returns the number of failed requests.
std::uint64_t RunLoad(const CostProbeSettings& settings, int requests) {
  std::atomic<int> left{requests};
  std::atomic<std::uint64_t> failures{0};
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(settings.callers));
  for (int i = 0; i < settings.callers; ++i) {
    callers.emplace_back([&] {
      const auto client = CreateClient(settings);
      while (left.fetch_sub(1) > 0) failures += !SendRequest(*client, settings);
    });
  }
  for (std::thread& caller : callers) caller.join();
  return failures;
}

}  // namespace

GatewayCost MeasureGateway(const CostProbeSettings& settings) {
  constexpr int kWarmUp = 500;
  GatewayCost cost;
  cost.failures = RunLoad(settings, kWarmUp);
  const double before = ResidentKilobytes(settings.pid);
  std::vector<std::unique_ptr<httplib::Client>> idle;
  for (int i = 0; i < settings.idle_connections; ++i) {
    idle.push_back(CreateClient(settings));
    cost.failures += !SendRequest(*idle.back(), settings);
  }
  const double after = ResidentKilobytes(settings.pid);
  cost.kilobytes_per_connection = (after - before) / settings.idle_connections;
  cost.resident_megabytes = after / 1024;
  idle.clear();
  const double used = ProcessorSeconds(settings.pid);
  const auto began = std::chrono::steady_clock::now();
  cost.failures += RunLoad(settings, settings.requests);
  const std::chrono::duration<double> taken =
      std::chrono::steady_clock::now() - began;
  cost.processor_us_per_request =
      (ProcessorSeconds(settings.pid) - used) / settings.requests * 1e6;
  cost.requests_per_second = settings.requests / taken.count();
  return cost;
}

}  // namespace briarspread::bench
