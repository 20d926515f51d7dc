// A stand-in for a plain service. Counts the runs of each idempotency key, so
// that tests can detect repeated runs, and responds with the key and the number
// of the run.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "briarspread/core/http_headers.h"
#include "briarspread/history/history_writer.h"
#include "briarspread/transport/http_server.h"
#include "standins/common/registration.h"

DEFINE_string(listen, "127.0.0.1:8700", "host:port to listen on");
DEFINE_string(platform, "127.0.0.1:8500", "the platform's host:port");
DEFINE_string(name, "service-1", "name in the instance list");
DEFINE_string(service, "orders", "the service offered");
DEFINE_string(zone, "lim-a", "availability zone");
DEFINE_string(region, "lim", "region");
DEFINE_string(history, "", "file to which runs are appended");
DEFINE_uint32(work_ms, 5, "milliseconds a call takes");

namespace briarspread::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kThreads = 512;

/// Injected faults of a service, set by `POST /fault`.
struct ServiceFaults {
  /// Delay added to each call.
  milliseconds delay{0};
  /// Whether new calls are refused with 503.
  bool refuse = false;
  /// A call whose body contains this text ends the process at once. Empty: no
  /// call does.
  std::string crash_text;
  /// Number of calls still to run and then have their connection closed during
  /// the response.
  int lose_answers = 0;
  /// Number of calls still to be answered with the ID of another exchange.
  int wrong_answers = 0;
};

/// Run counts and injected faults. Thread-safe.
class ServiceState {
 public:
  ServiceFaults faults() {
    std::lock_guard lock(mutex_);
    return faults_;
  }
  void SetFaults(const ServiceFaults& faults) {
    std::lock_guard lock(mutex_);
    faults_ = faults;
  }
  /// Counts a run of `key` and returns the number of its runs so far.
  int Run(const std::string& key) {
    std::lock_guard lock(mutex_);
    return ++runs_[key];
  }
  bool ConsumeLostAnswer() {
    std::lock_guard lock(mutex_);
    if (faults_.lose_answers == 0) return false;
    --faults_.lose_answers;
    return true;
  }
  bool ConsumeWrongAnswer() {
    std::lock_guard lock(mutex_);
    if (faults_.wrong_answers == 0) return false;
    --faults_.wrong_answers;
    return true;
  }
  std::map<std::string, int> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  /// Guards the members below.
  std::mutex mutex_;
  ServiceFaults faults_;
  /// Number of runs by idempotency key.
  std::map<std::string, int> runs_;
};

void ApplyFaults(ServiceState& state, const Json& json) {
  ServiceFaults faults = state.faults();
  faults.delay = milliseconds(json.value("delay_ms", faults.delay.count()));
  faults.refuse = json.value("refuse", faults.refuse);
  faults.crash_text = json.value("crash_text", faults.crash_text);
  faults.lose_answers = json.value("lose_answers", faults.lose_answers);
  faults.wrong_answers = json.value("wrong_answers", faults.wrong_answers);
  state.SetFaults(faults);
}

/// Closes the connection after the response head, so that the response body is
/// incomplete.
void CutAnswer(httplib::Response& out) {
  out.set_content_provider(
      1000, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void Call(ServiceState& state, HistoryWriter& history,
          const httplib::Request& in, httplib::Response& out) {
  const ServiceFaults faults = state.faults();
  if (faults.refuse) {
    out.set_header(headers::kRetryAfter, "1");
    RespondJson(out, 503, R"({"error":{"message":"not accepting work"}})");
    return;
  }
  if (!faults.crash_text.empty() &&
      in.body.find(faults.crash_text) != std::string::npos) {
    _exit(1);
  }
  const std::string key = in.get_header_value(headers::kIdempotencyKey);
  history.Write(RunRecord{UpstreamId(FLAGS_name), RequestKey(key),
                          ToHistoryTime(std::chrono::system_clock::now())});
  const int runs = state.Run(key);
  std::this_thread::sleep_for(milliseconds(FLAGS_work_ms) + faults.delay);
  if (state.ConsumeLostAnswer()) {
    CutAnswer(out);
    return;
  }
  std::string exchange = in.get_header_value(headers::kExchange);
  if (state.ConsumeWrongAnswer()) exchange = "0";
  out.set_header(headers::kExchange, exchange);
  RespondJson(out, 200,
              Json{{"key", key},
                   {"run", runs},
                   {"service", FLAGS_service},
                   {"echo", in.body}}
                  .dump());
}

void AddRoutes(ServiceState& state, HistoryWriter& history,
               httplib::Server& routes) {
  const auto call = [&state, &history](const auto& in, auto& out) {
    Call(state, history, in, out);
  };
  routes.Get("/health",
             [](const auto&, auto& out) { RespondJson(out, 200, "{}"); });
  routes.Get("/load", [](const auto&, auto& out) {
    RespondJson(out, 200, R"({"running":0,"queued":0,"slots":64,"version":0})");
  });
  routes.Get("/log", [&state](const auto&, auto& out) {
    RespondJson(out, 200, Json{{"runs", state.runs()}}.dump());
  });
  routes.Post("/fault", [&state](const auto& in, auto& out) {
    ApplyFaults(state, Json::parse(in.body));
    RespondJson(out, 200, "{}");
  });
  routes.Get(R"(/.*)", call);
  routes.Post(R"(/.*)", call);
  routes.Put(R"(/.*)", call);
  routes.Delete(R"(/.*)", call);
}

ListedInstance Self() {
  ListedInstance self;
  self.name = FLAGS_name;
  self.kind = InstanceKind::kPlainService;
  self.serves = FLAGS_service;
  self.endpoint = ParseEndpoint(FLAGS_listen);
  self.locality = {RegionId(FLAGS_region), ZoneId(FLAGS_zone)};
  return self;
}

int Run() {
  BlockStopSignals();
  ServiceState state;
  HttpServerSettings settings;
  settings.listen = ParseEndpoint(FLAGS_listen);
  settings.threads = kThreads;
  HttpServer server(settings);
  HistoryWriter history;
  const Status opened = history.Open(FLAGS_history);
  if (!IsOk(opened)) {
    LOG(ERROR) << ErrorOf(opened).message;
    return 1;
  }
  AddRoutes(state, history, server.routes());
  const Status started = server.Start();
  if (!IsOk(started)) {
    LOG(ERROR) << ErrorOf(started).message;
    return 1;
  }
  if (!RegisterInstance(ParseEndpoint(FLAGS_platform), Self())) {
    LOG(ERROR) << "the platform did not accept the registration";
    return 1;
  }
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace briarspread::standins

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  gflags::SetUsageMessage("stand-in for a plain service");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::standins::Run();
}
