// Crowds of clients that hold what they can of a process's memory and
// descriptors. Without limits on the sums over all connections, the platform
// ends the process. Checks only what the speed of the machine doesn't change.
#include <catch2/catch.hpp>

#include "briarspread/core/base64.h"
#include "tests/platform/edge_fixture.h"
#include "tests/pressure/crowd.h"
#include "tests/pressure/edge_process.h"

namespace briarspread::platform {
namespace {

constexpr std::uint64_t kMemoryMb = 64;
constexpr std::size_t kMaxDescriptors = 256;
constexpr std::size_t kMiB = std::size_t{1} << 20U;
/// 192 MiB together: three times the memory limit.
constexpr std::size_t kClients = 12;
constexpr std::size_t kBodyBytes = 16 * kMiB;

/// Answers requests for `/plain/large` with 8 MiB, others with "whole".
class LargeReplica final : public proxy::RequestHandler {
 public:
  explicit LargeReplica(asio::io_context& loop) : listener_(loop, *this) {
    REQUIRE(IsOk(listener_.Start(Endpoint{"127.0.0.1", 0})));
  }

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override {
    proxy::Response response = proxy::MakeResponse(200, "whole");
    response.head.headers.Add("X-Server-Stamp", "sig");
    response.head.headers.Add("X-Attempt-Id",
                              *request.head.headers.Find("X-Attempt-Id"));
    if (request.head.target == "/plain/large") {
      response.body.assign(8 * kMiB, 'x');
    }
    responder->Send(response);
  }

  std::uint16_t port() const { return listener_.port(); }

 private:
  proxy::HttpListener listener_;
};

struct PressureFixture : EdgeFixture {
  explicit PressureFixture(std::uint64_t memory_mb = kMemoryMb)
      : large(loop),
        settings(Settings("one")),
        memory_kib(memory_mb * 1024),
        process((Register(), settings),
                "Limits.MemoryMb=" + std::to_string(memory_mb) +
                    "\nLimits.MaxFds=" + std::to_string(kMaxDescriptors) +
                    "\n") {
    AwaitAnswer("");
  }

  void Register() {
    auto json = nlohmann::json::parse(replica.Registration("desk"));
    json["Address"] = "127.0.0.1:" + std::to_string(large.port());
    store.memory().Write("servers/desk", json.dump());
  }

  /// Sends a request until it is answered with 200.
  void AwaitAnswer(const std::string& body) {
    proxy::RequestHead head;
    head.method = "POST";
    head.target = "/plain/x";
    head.headers.Add("Host", "h");
    head.headers.Add("X-Attempt-Id", "id-1");
    bool is_answered = false;
    bool is_pending = false;
    Await([&] {
      REQUIRE(process.is_alive());
      if (is_answered || is_pending) return is_answered;
      is_pending = true;
      proxy::ExchangeRequest request;
      request.to = *settings.frontend;
      request.bytes = proxy::RequestBytes::Make(head, body);
      proxy::StartCall(
          pool, std::move(request), [&](const proxy::CallResult& got) {
            const auto* response = std::get_if<proxy::Response>(&got);
            is_answered = response != nullptr && response->head.status == 200;
            is_pending = false;
          });
      return false;
    });
  }

  void CheckBounds() {
    REQUIRE(process.is_alive());
    CHECK(process.StatusKib("VmHWM") < memory_kib);
    CHECK(process.descriptors() < kMaxDescriptors);
  }

  /// Runs a crowd until it has settled, and checks the process while the crowd
  /// is still connected.
  void Run(const ClientPlan& plan, std::size_t clients) {
    Crowd crowd(loop, *settings.frontend, plan, clients);
    Await([&] { return !process.is_alive() || crowd.IsSettled(); });
    CheckBounds();
    AwaitAnswer("ordinary");
    CheckBounds();
  }

  LargeReplica large;
  const PlatformSettings settings;
  const std::uint64_t memory_kib;
  EdgeProcess process;
};

std::string HeadOf(const std::string& target, const std::string& framing) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\n" +
         framing + "\r\n\r\n";
}

std::string LengthOf(std::size_t n) {
  return "Content-Length: " + std::to_string(n);
}

TEST_CASE("bodies just short of their end") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/plain/x", LengthOf(kBodyBytes + 1)),
               std::string(kMiB, 'x'), kBodyBytes},
              kClients);
}

TEST_CASE("bodies in small pieces, just short of their end") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/plain/x", LengthOf(kBodyBytes + 1)),
               std::string(2000, 'x'), kBodyBytes},
              kClients);
}

TEST_CASE("chunked bodies without end") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/plain/x", "Transfer-Encoding: chunked"),
               "10000\r\n" + std::string(0x10000, 'x') + "\r\n",
               kBodyBytes / 0x10000 * (0x10000 + 9)},
              kClients);
}

TEST_CASE("complete bodies") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/plain/x", LengthOf(kBodyBytes)), std::string(kMiB, 'x'),
               kBodyBytes, true, true},
              kClients);
}

TEST_CASE("batch submissions just short of their end") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/roll/x", LengthOf(kBodyBytes + 1)),
               std::string(kMiB, ' '), kBodyBytes},
              kClients);
}

TEST_CASE("complete batch submissions of many small values") {
  PressureFixture fixture;
  std::string piece;
  while (piece.size() < kMiB) piece += "[],1,";
  const std::string begin = R"({"Items":[],"x":[)";
  const std::size_t n = 8 * piece.size();
  const ClientPlan plan{HeadOf("/roll/x", LengthOf(begin.size() + n)) + begin,
                        piece, n, true, true};
  fixture.Run(plan, 1);
  fixture.Run(plan, kClients);
}

TEST_CASE("complete batch submissions that are deeply nested") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/roll/x", LengthOf(4 * kMiB)), std::string(kMiB, '['),
               4 * kMiB, true, true},
              kClients);
}

TEST_CASE("heads without end") {
  PressureFixture fixture;
  fixture.Run({"POST /plain/x HTTP/1.1\r\n",
               "X-Line: " + std::string(990, 'x') + "\r\n", 15000},
              kMaxDescriptors * 2);
}

TEST_CASE("connections that send nothing") {
  PressureFixture fixture;
  fixture.Run({"", "", 0}, kMaxDescriptors * 2);
}

TEST_CASE("readers of large responses that do not read") {
  PressureFixture fixture;
  fixture.Run({HeadOf("/plain/large", LengthOf(0)), "", 0, false}, 160);
}

TEST_CASE("a single request inside the limits is served") {
  PressureFixture fixture(88);
  for (int i = 0; i < 3; ++i) fixture.AwaitAnswer(std::string(32 * kMiB, 'x'));
  fixture.CheckBounds();
}

// Guards against a single large submission that needs several times its size:
// the copies that are made after it was parsed are not reserved.
TEST_CASE("a single large submission is accepted within the memory limit") {
  PressureFixture fixture(88);
  nlohmann::json items = nlohmann::json::array();
  const std::string text(kMiB * 3 / 4, 'x');
  for (int i = 0; i < 31; ++i) {
    items.push_back({{"Id", "i" + std::to_string(i)},
                     {"Path", "/roll/1"},
                     {"Headers", nlohmann::json::object()},
                     {"Body", EncodeBase64(text)},
                     {"Tokens", 9},
                     {"Group", "g"}});
  }
  const std::string body = nlohmann::json{
      {"Step", 0},
      {"Model", "m"},
      {"MinVersion", 1},
      {"TargetGroups", 1},
      {"Items",
       std::move(items)}}.dump();
  const auto answer = fixture.Call(*fixture.settings.frontend, "POST",
                                   "/roll/x", body, "job-1");
  REQUIRE(answer.head.status == 202);
  fixture.CheckBounds();
}

}  // namespace
}  // namespace briarspread::platform
