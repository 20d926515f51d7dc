// forward_bench: measures what a request and a connection cost at a gateway.
// Runs the event-driven gateway, or measures a running gateway from another
// process; bench/gateway_cost.sh does both.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bench/forward_bench/cost_probe.h"
#include "bench/forward_bench/event_gateway.h"

DEFINE_string(mode, "", "serve or measure");
DEFINE_int32(port, 0, "port of the gateway, on 127.0.0.1");
DEFINE_string(upstreams, "", "serve: ports of the upstreams, by commas");
DEFINE_string(path, "/v1/services/stock/check", "the request's path");
DEFINE_int32(pid, 0, "measure: the gateway's process");
DEFINE_int32(requests, 8000, "measure: requests");
DEFINE_int32(callers, 16, "measure: callers at once");
DEFINE_int32(idle, 200, "measure: idle connections");
DEFINE_bool(json, false, "measure: print JSON");

namespace briarspread::bench {
namespace {

constexpr int kExitUsage = 2;

int Serve() {
  EventGatewaySettings settings;
  settings.listen = {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_port)};
  settings.prefix = "/v1/";
  std::istringstream in(FLAGS_upstreams);
  for (std::string port; std::getline(in, port, ',');) {
    settings.upstreams.push_back(
        {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(port))});
  }
  return RunEventGateway(settings);
}

int Measure() {
  CostProbeSettings settings;
  settings.pid = FLAGS_pid;
  settings.gateway = {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_port)};
  settings.path = FLAGS_path;
  settings.idle_connections = FLAGS_idle;
  settings.callers = FLAGS_callers;
  settings.requests = FLAGS_requests;
  const GatewayCost cost = MeasureGateway(settings);
  if (FLAGS_json) {
    std::cout << nlohmann::json{{"kilobytes_per_connection",
                                 cost.kilobytes_per_connection},
                                {"resident_megabytes", cost.resident_megabytes},
                                {"processor_us_per_request",
                                 cost.processor_us_per_request},
                                {"requests_per_second",
                                 cost.requests_per_second},
                                {"failures", cost.failures}}
              << "\n";
    return 0;
  }
  std::cout << cost.processor_us_per_request << " us of processor a request, "
            << cost.requests_per_second << " requests/s, "
            << cost.kilobytes_per_connection << " kB a connection, "
            << cost.resident_megabytes << " MB resident, " << cost.failures
            << " failures\n";
  return 0;
}

}  // namespace
}  // namespace briarspread::bench

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  // Info and warning log lines are suppressed, because both gateways are
  // measured without them.
  FLAGS_minloglevel = google::GLOG_ERROR;
  gflags::SetUsageMessage(
      "what a request and a connection cost at a gateway\n"
      "  forward_bench --mode=serve --port=P --upstreams=P,P\n"
      "  forward_bench --mode=measure --port=P --pid=PID [--json]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_mode == "serve") return briarspread::bench::Serve();
  if (FLAGS_mode == "measure") return briarspread::bench::Measure();
  std::cerr << "forward_bench: --mode: found '" << FLAGS_mode
            << "', allowed is serve or measure\n";
  return briarspread::bench::kExitUsage;
}
