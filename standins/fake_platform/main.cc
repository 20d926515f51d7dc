// A stand-in for the platform. Serves the key-value service and the instance
// list through the parts of Consul's HTTP API that briarspread uses, and a
// weight store with a limited transfer rate.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "briarspread/core/base64.h"
#include "briarspread/transport/http_server.h"
#include "standins/common/registration.h"
#include "standins/fake_platform/platform_state.h"

DEFINE_string(listen, "127.0.0.1:8500", "host:port to listen on");
DEFINE_uint64(reads_per_second, 2000, "reads and watches served a second");
DEFINE_uint64(writes_per_second, 400, "writes served a second");
DEFINE_uint64(weight_bytes, 1000000, "size of one version's weights");
DEFINE_uint64(weight_bytes_per_second, 50000000, "rate of the weight store");

namespace briarspread::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kThreads = 512;
constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr milliseconds kLongestWatch{60000};
constexpr std::size_t kWeightChunkBytes = 65536;

Json MakeRow(const std::string& key, const StoredKey& stored) {
  return {{"Key", key},
          {"Value", stored.value_base64},
          {"CreateIndex", stored.create_index},
          {"ModifyIndex", stored.modify_index}};
}

std::optional<std::uint64_t> ParseCas(const httplib::Request& request) {
  if (!request.has_param("cas")) return std::nullopt;
  return std::stoull(request.get_param_value("cas"));
}

/// Parses a time in seconds or milliseconds, such as `5s` or `250ms`, and
/// limits it to `kLongestWatch`.
milliseconds ParseWait(const std::string& text) {
  const auto n = static_cast<std::int64_t>(std::atof(text.c_str()));
  const milliseconds wait =
      text.ends_with("ms") ? milliseconds(n) : milliseconds(seconds(n));
  return std::min(wait, kLongestWatch);
}

/// HTTP routes of the stand-in platform.
class PlatformServer {
 public:
  explicit PlatformServer(PlatformState& state) : state_(state) {}

  void AddRoutes(httplib::Server& routes) {
    routes.Get(R"(/v1/kv/(.*))", [this](const auto& in, auto& out) {
      if (BeginStoreCall(in, out)) Read(in, out);
    });
    routes.Put(R"(/v1/kv/(.*))", [this](const auto& in, auto& out) {
      if (BeginStoreCall(in, out)) Write(in, out);
    });
    routes.Delete(R"(/v1/kv/(.*))", [this](const auto& in, auto& out) {
      if (BeginStoreCall(in, out)) Write(in, out);
    });
    routes.Put("/v1/catalog/register", [this](const auto& in, auto& out) {
      state_.Register(Json::parse(in.body));
      RespondJson(out, 200, "true");
    });
    routes.Put("/v1/catalog/state", [this](const auto& in, auto& out) {
      const Json json = Json::parse(in.body);
      const bool known = state_.SetInstanceState(json.value("ServiceID", ""),
                                                 json.value("state", "live"));
      RespondJson(out, known ? 200 : 404, known ? "true" : "false");
    });
    routes.Put("/v1/catalog/deregister", [this](const auto& in, auto& out) {
      state_.Deregister(Json::parse(in.body).value("ServiceID", ""));
      RespondJson(out, 200, "true");
    });
    routes.Get(R"(/v1/catalog/service/.*)", [this](const auto&, auto& out) {
      RespondJson(out, 200, state_.Catalog().dump());
    });
    routes.Get(R"(/v1/weights/.*)",
               [this](const auto& in, auto& out) { SendWeights(in, out); });
    routes.Post("/fault", [this](const auto& in, auto& out) {
      ApplyFaults(Json::parse(in.body));
      RespondJson(out, 200, "{}");
    });
    routes.Get("/counts", [this](const auto&, auto& out) { Counts(out); });
  }

 private:
  bool BeginStoreCall(const httplib::Request& in, httplib::Response& out) {
    const PlatformFaults faults = state_.faults();
    if (faults.delay.count() > 0) std::this_thread::sleep_for(faults.delay);
    if (faults.outage) {
      RespondJson(out, 500, R"("no cluster leader")");
      return false;
    }
    auto kind = PlatformState::CallKind::kRead;
    if (in.method != "GET") kind = PlatformState::CallKind::kWrite;
    if (in.has_param("index")) kind = PlatformState::CallKind::kWatch;
    if (state_.Admit(kind)) return true;
    RespondJson(out, 429, R"("rate limit exceeded")");
    return false;
  }

  void Read(const httplib::Request& in, httplib::Response& out) {
    const std::string key = in.matches[1];
    Json rows = Json::array();
    if (in.has_param("recurse")) {
      for (const auto& [name, stored] : state_.List(key)) {
        rows.push_back(MakeRow(name, stored));
      }
    } else {
      const bool watch = in.has_param("index");
      const auto stored = state_.WaitForKey(
          key, watch ? std::stoull(in.get_param_value("index")) : 0,
          watch ? ParseWait(in.get_param_value("wait")) : milliseconds(0));
      if (stored.has_value()) rows.push_back(MakeRow(key, *stored));
    }
    if (state_.faults().outage) {
      RespondJson(out, 500, R"("no cluster leader")");
      return;
    }
    RespondJson(out, rows.empty() ? 404 : 200, rows.empty() ? "" : rows.dump());
  }

  void Write(const httplib::Request& in, httplib::Response& out) {
    const std::string key = in.matches[1];
    if (in.body.size() > kMaxValueBytes) {
      RespondJson(out, 413, R"("value too large")");
      return;
    }
    const bool done =
        in.method == "DELETE"
            ? state_.Delete(key, ParseCas(in))
            : state_.Put(key, EncodeBase64(in.body), ParseCas(in));
    if (state_.ConsumeLostAnswer()) {
      RespondJson(out, 500, R"("rpc error: connection is shut down")");
      return;
    }
    RespondJson(out, 200, done ? "true" : "false");
  }

  void SendWeights(const httplib::Request& in, httplib::Response& out) {
    const std::string region = in.get_param_value("region");
    out.set_content_provider(
        FLAGS_weight_bytes, "application/octet-stream",
        [this, region](std::size_t /*offset*/, std::size_t left,
                       httplib::DataSink& sink) {
          const std::size_t n = std::min(left, kWeightChunkBytes);
          std::this_thread::sleep_for(std::chrono::duration<double>(
              static_cast<double>(n) /
              static_cast<double>(FLAGS_weight_bytes_per_second)));
          state_.CountWeightBytes(region, n);
          return sink.write(std::string(n, 'w').data(), n);
        });
  }

  void ApplyFaults(const Json& json) {
    PlatformFaults faults = state_.faults();
    faults.outage = json.value("outage", faults.outage);
    faults.delay = milliseconds(json.value("delay_ms", faults.delay.count()));
    faults.lose_write_answers =
        json.value("lose_write_answers", faults.lose_write_answers);
    faults.list_lag =
        milliseconds(json.value("list_lag_ms", faults.list_lag.count()));
    state_.SetFaults(faults);
  }

  void Counts(httplib::Response& out) {
    const PlatformCounts counts = state_.counts();
    RespondJson(out, 200,
                Json{{"reads", counts.reads},
                     {"writes", counts.writes},
                     {"watches", counts.watches},
                     {"refused", counts.refused},
                     {"weight_bytes", counts.weight_bytes}}
                    .dump());
  }

  PlatformState& state_;
};

int Run() {
  BlockStopSignals();
  PlatformState state;
  state.SetRates(FLAGS_reads_per_second, FLAGS_writes_per_second);
  HttpServerSettings settings;
  settings.listen = ParseEndpoint(FLAGS_listen);
  settings.threads = kThreads;
  HttpServer server(settings);
  PlatformServer routes(state);
  routes.AddRoutes(server.routes());
  const Status started = server.Start();
  if (!IsOk(started)) {
    LOG(ERROR) << ErrorOf(started).message;
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
  gflags::SetUsageMessage("stand-in for the platform's services");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::standins::Run();
}
