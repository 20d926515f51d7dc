// Requests that a caller hides inside others: in fields of an item of a batch
// job, and after a head whose body's end is in doubt. They guard against the
// failure of review/10 (UNASKED): the hidden requests ran at replicas.

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "tests/platform/edge_fixture.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

constexpr char kHidden[] = "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1";

/// Returns a submission of one proper item and one that the caller may change.
Json Submission(Json second) {
  second.update({{"Id", "b"}, {"Path", "/roll/2"}}, true);
  return {{"Model", "m"},
          {"MinVersion", 1},
          {"Items", {{{"Id", "a"}, {"Path", "/roll/1"}}, std::move(second)}}};
}

TEST_CASE("a batch job with text that may not stand in a head is refused") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  Json reward = {{"Id", "s"}, {"Host", "h"}, {"Path", "/plain/s"}};
  const auto submit = [&](const Json& submission, const std::string& field) {
    const auto answer = fixture.Call(*edge.settings.frontend, "POST", "/roll/j",
                                     submission.dump(), "job-1");
    INFO(answer.body);
    REQUIRE(answer.head.status == 400);
    const std::string message = Json::parse(answer.body)["message"];
    REQUIRE(message.find(field) != std::string::npos);
  };
  submit(Submission({{"Headers", {{"X-Note", kHidden}}}}), "X-Note");
  submit(Submission({{"Headers", {{kHidden, "x"}}}}), "item \"b\"");
  submit(Submission({{"Headers", {{"X Note", "x"}}}}), "X Note");
  submit(Submission({{"Group", kHidden}}), "group");
  for (const char* field : {"Id", "Host", "Path"}) {
    Json wrong = reward;
    wrong[field] = kHidden;
    submit(Submission({{"Scorer", wrong}}), "reward");
  }
  for (const char* field : {"Id", "Path"}) {
    Json submission = Submission({});
    submission["Items"][1][field] = std::string("/roll/") + kHidden;
    submit(submission, field[0] == 'I' ? "id" : "path");
  }
  Json submission = Submission({});
  submission["Model"] = kHidden;
  submit(submission, "model");
  REQUIRE(fixture.replica.requests == 0);
  REQUIRE(fixture
              .Call(*edge.settings.frontend, "GET",
                    "/briarspread/lots/job-1?After=0")
              .head.status == 404);
}

/// Sends bytes on a new connection and returns what is answered until the other
/// side closes it.
std::string SendBytes(EdgeFixture& fixture, const Endpoint& to,
                      const std::string& bytes) {
  asio::ip::tcp::socket socket(fixture.loop);
  socket.connect({asio::ip::make_address(to.host), to.port});
  asio::write(socket, asio::buffer(bytes));
  std::string answer;
  bool is_closed = false;
  asio::async_read(socket, asio::dynamic_buffer(answer),
                   [&](asio::error_code, std::size_t) { is_closed = true; });
  fixture.Await([&] { return is_closed; });
  return answer;
}

TEST_CASE("bytes after a request whose end is in doubt are not a request") {
  EdgeFixture fixture;
  ReadyInstance edge(fixture, fixture.Settings("one"));
  const std::string hidden =
      "POST /plain/2 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: hidden\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(hidden.size()) + "\r\n\r\n";
  for (const std::string& head :
       {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n" + length,
        std::string("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"),
        std::string("POST /plain/1 HTTP/1.1\r\nHost: h\r\n\rX"),
        "POST /plain/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n" +
            length}) {
    INFO(head);
    const std::string answer =
        SendBytes(fixture, *edge.settings.frontend, head + hidden);
    REQUIRE(answer.starts_with("HTTP/1.1 400 "));
    REQUIRE(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
  REQUIRE(fixture.replica.requests == 0);
}

}  // namespace
}  // namespace briarspread::platform
