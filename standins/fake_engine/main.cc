// A stand-in for a model engine. Serves completions in the format of OpenAI's
// API, streamed or in one response, with priorities, resumption at a token
// offset and the weight version of each token. Also reports its load, executes
// weight orders, and injects faults that are set over HTTP.

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "briarspread/core/http_headers.h"
#include "briarspread/history/history_writer.h"
#include "briarspread/transport/http_server.h"
#include "standins/common/registration.h"
#include "standins/fake_engine/engine_state.h"

DEFINE_string(listen, "127.0.0.1:8600", "host:port to listen on");
DEFINE_string(platform, "127.0.0.1:8500", "the platform's host:port");
DEFINE_string(name, "engine-1", "name in the instance list");
DEFINE_string(model, "rollout", "the model served");
DEFINE_string(zone, "lim-a", "availability zone");
DEFINE_string(region, "lim", "region");
DEFINE_uint32(slots, 16, "requests that run at once");
DEFINE_uint32(token_ms, 2, "milliseconds a token takes");
DEFINE_string(history, "", "file to which runs and generations are appended");
DEFINE_uint64(weight_version, 1, "weight version loaded at the start");

namespace briarspread::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kThreads = 512;
constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr int kDefaultLevel = 5;

/// A parsed completion request.
struct Completion {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = kDefaultMaxTokens;
  std::uint32_t resume_offset = 0;
  int level = kDefaultLevel;
  bool stream = false;
  /// The caller's idempotency key; may be empty.
  std::string key;
};

std::optional<Completion> ParseCompletion(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("prompt")) return std::nullopt;
  Completion parsed;
  parsed.model = json.value("model", "");
  parsed.prompt = json.value("prompt", "");
  parsed.max_tokens = json.value("max_tokens", kDefaultMaxTokens);
  parsed.resume_offset = json.value("resume_offset", 0U);
  parsed.level = json.value("priority", kDefaultLevel);
  parsed.stream = json.value("stream", false);
  return parsed;
}

/// Ranges of consecutive tokens that the same weight version produced.
class VersionSpans {
 public:
  void Add(std::uint64_t version, std::uint32_t index) {
    if (!spans_.empty() && spans_.back()["version"] == version) {
      spans_.back()["end"] = index + 1;
      return;
    }
    spans_.push_back(
        Json{{"version", version}, {"begin", index}, {"end", index + 1}});
  }
  Json ToJson() const { return spans_; }

  /// Writes a generation record for each span to `history`.
  void Record(const std::string& prompt, HistoryWriter& history) const {
    for (const Json& span : spans_) {
      history.Write(
          GenerationRecord{UpstreamId(FLAGS_name), prompt,
                           WeightVersion(span["version"].get<std::uint64_t>()),
                           span["begin"].get<std::uint32_t>(),
                           span["end"].get<std::uint32_t>()});
    }
  }

 private:
  /// Ordered by token index; `end` is exclusive.
  std::vector<Json> spans_;
};

Json Choice(const std::string& text, const Json& finish_reason) {
  return Json::array(
      {{{"index", 0}, {"text", text}, {"finish_reason", finish_reason}}});
}

/// HTTP routes of the stand-in engine.
class EngineServer {
 public:
  EngineServer(EngineState& state, HistoryWriter& history)
      : state_(state), history_(history) {}

  void AddRoutes(httplib::Server& routes) {
    routes.Post("/v1/completions",
                [this](const auto& in, auto& out) { Complete(in, out); });
    routes.Get("/load", [this](const auto&, auto& out) { Load(out); });
    routes.Get("/health",
               [](const auto&, auto& out) { RespondJson(out, 200, "{}"); });
    routes.Post("/admin/weights",
                [this](const auto& in, auto& out) { OrderWeights(in, out); });
    routes.Post("/fault", [this](const auto& in, auto& out) {
      ApplyFaults(Json::parse(in.body));
      RespondJson(out, 200, "{}");
    });
    routes.Get("/log", [this](const auto&, auto& out) { Log(out); });
  }

 private:
  void Complete(const httplib::Request& in, httplib::Response& out) {
    auto completion = ParseCompletion(in.body);
    if (!completion.has_value()) {
      RespondJson(out, 400, R"({"error":{"message":"prompt is required"}})");
      return;
    }
    const EngineFaults faults = state_.faults();
    if (faults.refuse) {
      out.set_header(headers::kRetryAfter, "1");
      RespondJson(out, 503, R"({"error":{"message":"not accepting work"}})");
      return;
    }
    if (!faults.crash_text.empty() &&
        completion->prompt.find(faults.crash_text) != std::string::npos) {
      _exit(1);
    }
    ++started_;
    completion->key = in.get_header_value(headers::kIdempotencyKey);
    history_.Write(RunRecord{UpstreamId(FLAGS_name),
                             RequestKey(completion->key),
                             ToHistoryTime(std::chrono::system_clock::now())});
    out.set_header(headers::kExchange, in.get_header_value(headers::kExchange));
    if (completion->stream) {
      Stream(*completion, out);
    } else {
      RespondUnstreamed(*completion, out);
    }
  }

  void RespondUnstreamed(const Completion& completion, httplib::Response& out) {
    state_.AcquireSlot(completion.level, [] { return false; });
    const std::uint64_t hash =
        XXH3_64bits(completion.prompt.data(), completion.prompt.size());
    std::string text;
    VersionSpans spans;
    for (std::uint32_t i = completion.resume_offset; i < completion.max_tokens;
         ++i) {
      const GeneratedToken token = state_.Generate(hash, i);
      text += token.text;
      spans.Add(token.weight_version, i);
    }
    state_.ReleaseSlot();
    spans.Record(completion.prompt, history_);
    RespondJson(out, 200,
                Json{{"id", completion.key},
                     {"object", "text_completion"},
                     {"model", completion.model},
                     {"choices", Choice(text, "length")},
                     {"usage",
                      {{"completion_tokens",
                        completion.max_tokens - completion.resume_offset}}},
                     {"weight_versions", spans.ToJson()}}
                    .dump());
  }

  void Stream(const Completion& completion, httplib::Response& out) {
    out.set_chunked_content_provider(
        "text/event-stream",
        [this, completion](std::size_t /*offset*/, httplib::DataSink& sink) {
          return SendTokens(completion, sink);
        });
  }

  bool SendTokens(const Completion& completion, httplib::DataSink& sink) {
    const auto is_disconnected = [&sink] { return !sink.is_writable(); };
    if (!state_.AcquireSlot(completion.level, is_disconnected)) {
      ++cancelled_;
      return false;
    }
    const std::uint32_t cut_after = state_.ConsumeCut();
    const std::uint64_t hash =
        XXH3_64bits(completion.prompt.data(), completion.prompt.size());
    bool is_complete = true;
    VersionSpans spans;
    for (std::uint32_t i = completion.resume_offset; i < completion.max_tokens;
         ++i) {
      const GeneratedToken token = state_.Generate(hash, i);
      spans.Add(token.weight_version, i);
      const bool last = i + 1 == completion.max_tokens;
      const Json chunk = {
          {"id", completion.key},
          {"object", "text_completion"},
          {"model", completion.model},
          {"token_index", i},
          {"choices", Choice(token.text, last ? Json("length") : Json())},
          {"weight_version", token.weight_version}};
      const std::string event = "data: " + chunk.dump() + "\n\n";
      const bool cut = cut_after != 0 && i + 1 >= cut_after;
      is_complete = !cut && sink.write(event.data(), event.size());
      if (!is_complete) break;
    }
    state_.ReleaseSlot();
    spans.Record(completion.prompt, history_);
    if (!is_complete) {
      ++cancelled_;
      return false;
    }
    constexpr std::string_view kEnd = "data: [DONE]\n\n";
    sink.write(kEnd.data(), kEnd.size());
    sink.done();
    return true;
  }

  void Load(httplib::Response& out) {
    RespondJson(out, 200,
                Json{{"running", state_.running()},
                     {"queued", state_.queued()},
                     {"slots", state_.slots()},
                     {"version", state_.version()}}
                    .dump());
  }

  void OrderWeights(const httplib::Request& in, httplib::Response& out) {
    const Json json = Json::parse(in.body, nullptr, false);
    if (!json.is_object()) {
      RespondJson(out, 400, "{}");
      return;
    }
    WeightOrder order;
    order.version = json.value("version", std::uint64_t{0});
    order.fencing = json.value("fencing", std::uint64_t{0});
    order.holder = json.value("holder", "");
    const bool taken = state_.Load(order);
    RespondJson(out, taken ? 200 : 409,
                Json{{"version", state_.version()}}.dump());
  }

  void ApplyFaults(const Json& json) {
    EngineFaults faults = state_.faults();
    faults.token_delay =
        milliseconds(json.value("token_delay_ms", faults.token_delay.count()));
    faults.refuse = json.value("refuse", faults.refuse);
    faults.crash_text = json.value("crash_text", faults.crash_text);
    faults.cut_after = json.value("cut_after", faults.cut_after);
    faults.cuts = json.value("cuts", faults.cuts);
    faults.failed_swaps = json.value("failed_swaps", faults.failed_swaps);
    faults.check_fencing = json.value("check_fencing", faults.check_fencing);
    state_.SetFaults(faults);
  }

  void Log(httplib::Response& out) {
    Json orders = Json::array();
    for (const WeightOrder& order : state_.orders()) {
      orders.push_back({{"version", order.version},
                        {"fencing", order.fencing},
                        {"holder", order.holder},
                        {"taken", order.taken}});
    }
    RespondJson(out, 200,
                Json{{"started", started_.load()},
                     {"cancelled", cancelled_.load()},
                     {"orders", orders}}
                    .dump());
  }

  EngineState& state_;
  /// Receives a record of each run and each generated span.
  HistoryWriter& history_;
  /// Number of completion requests accepted.
  std::atomic<std::uint64_t> started_{0};
  /// Number of streams that ended before their end marker.
  std::atomic<std::uint64_t> cancelled_{0};
};

ListedInstance Self() {
  ListedInstance self;
  self.name = FLAGS_name;
  self.kind = InstanceKind::kModelEngine;
  self.serves = FLAGS_model;
  self.endpoint = ParseEndpoint(FLAGS_listen);
  self.locality = {RegionId(FLAGS_region), ZoneId(FLAGS_zone)};
  return self;
}

int Run() {
  BlockStopSignals();
  EngineState state(FLAGS_slots, milliseconds(FLAGS_token_ms),
                    FLAGS_weight_version);
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
  EngineServer routes(state, history);
  routes.AddRoutes(server.routes());
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
  gflags::SetUsageMessage("stand-in for a model engine");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::standins::Run();
}
