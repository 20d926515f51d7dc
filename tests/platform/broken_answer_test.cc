// Invalid answers of replicas, and answers that break off: callers get a 502,
// and another attempt is made only where the request allows it. They guard
// against reports of operators (MIXED): a status of 000, a name of a field with
// a blank or a control byte, a 200 made of a head that broke off, and a 200
// without a length that was reset while its request was written.

#include <catch2/catch.hpp>
#include <vector>

#include "tests/platform/edge_fixture.h"
#include "tests/support/broken_answers.h"

namespace briarspread::platform {
namespace {

using briarspread::testing::kLongBodyBytes;
using briarspread::testing::RawUpstream;
using Json = nlohmann::json;

/// An instance whose only replica of the plain service sends given bytes.
struct BrokenReplica {
  explicit BrokenReplica(const std::string& answer)
      : upstream(fixture.loop, briarspread::testing::RepeatAnswer(answer)) {
    Json entry = Json::parse(fixture.replica.Registration("desk"));
    entry["Address"] = "127.0.0.1:" + std::to_string(upstream.endpoint().port);
    fixture.store.memory().Write("servers/desk", entry.dump());
    edge.emplace(fixture, fixture.Settings("one"));
  }

  /// Sends a request, which must be answered 502 after as many attempts as its
  /// route makes if each may have run.
  void RequireBadGateway(const std::string& path,
                         const std::string& body = "") {
    const int attempts = path == "/once/x" ? 1 : path == "/plain/x" ? 2 : 3;
    const auto answer =
        fixture.Call(*edge->settings.frontend, "POST", path, body);
    REQUIRE(answer.head.status == 502);
    REQUIRE(upstream.requests() == attempts);
  }

  EdgeFixture fixture;
  RawUpstream upstream;
  std::optional<ReadyInstance> edge;
};

const std::string kSigned = "X-Attempt-Id: id-1\r\nX-Server-Stamp: sig\r\n";

TEST_CASE("an answer whose status is none is not passed on") {
  for (const char* status : {"000 Odd", "00", "099", "600 Odd", "0200 OK"}) {
    for (const std::string path : {"/plain/x", "/once/x", "/stream/x"}) {
      INFO(status << " " << path);
      BrokenReplica replica("HTTP/1.1 " + std::string(status) + "\r\n" +
                            kSigned + "Content-Length: 2\r\n\r\nno");
      replica.RequireBadGateway(path);
    }
  }
}

TEST_CASE(
    "an answer with a blank or a control byte in a name is not passed on") {
  for (const std::string& name : briarspread::testing::kInvalidNames) {
    for (const std::string path : {"/plain/x", "/once/x", "/stream/x"}) {
      CAPTURE(name, path);
      BrokenReplica replica(
          briarspread::testing::MakeAnswerWithName(kSigned, name, "no"));
      replica.RequireBadGateway(path);
    }
  }
}

TEST_CASE("an answer that breaks off in its head is not passed on") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + kSigned;
  const std::vector<std::string> begins = {
      "HTTP/1.1 200 OK\r\n",
      head,
      head + "Content-Le",
      head + "Content-Length: 1",
      head + "Content-Length: 10\r\n",
      head + "Content-Length: 10\r\n\r",
      head + "Transfer-Encoding: chunked\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + head};
  for (const std::string& begin : begins) {
    for (const char end : {RawUpstream::kClose, RawUpstream::kReset}) {
      for (const char* path : {"/plain/x", "/once/x", "/stream/x"}) {
        INFO(begin << end << path);
        BrokenReplica replica(begin + end);
        replica.RequireBadGateway(path);
      }
    }
  }
}

TEST_CASE("an answer without a length that is reset is not passed on") {
  const std::string answer =
      briarspread::testing::MakeResetAnswer(kSigned, "half");
  for (const std::size_t body_bytes : {std::size_t{0}, kLongBodyBytes}) {
    for (const std::string path : {"/plain/x", "/once/x"}) {
      INFO(path << " " << body_bytes);
      BrokenReplica replica(answer);
      replica.RequireBadGateway(path, std::string(body_bytes, 'b'));
    }
  }
}

TEST_CASE("a stream without a length that is reset does not look complete") {
  const std::string lines = kSigned + "Content-Type: text/event-stream\r\n";
  BrokenReplica replica(
      briarspread::testing::MakeResetAnswer(lines, "id: 1\ndata: a\n\n"));
  const proxy::CallResult result = replica.fixture.TryCall(
      *replica.edge->settings.frontend, "POST", "/stream/x",
      std::string(kLongBodyBytes, 'b'), "id-1");
  REQUIRE(std::holds_alternative<proxy::ExchangeFailure>(result));
}

}  // namespace
}  // namespace briarspread::platform
