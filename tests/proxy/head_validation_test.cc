// Tests of what may stand in a message's head, as it is received and as it is
// sent. They guard against the failure of review/10 (UNASKED): text of a caller
// became a second request.

#include "briarspread/proxy/head_validation.h"

#include <catch2/catch.hpp>
#include <vector>

#include "briarspread/proxy/message_bytes.h"
#include "briarspread/proxy/message_reader.h"
#include "tests/support/broken_answers.h"

namespace briarspread::proxy {
namespace {

using Kind = MessageReader::Kind;

ReadError ErrorOf(Kind kind, const std::string& bytes) {
  MessageReader reader(kind, ReadLimits{});
  reader.Feed(bytes);
  return reader.error();
}

RequestHead ProperHead() {
  RequestHead head{"POST", "/a?b=c", {}};
  head.headers.Add("Host", "h");
  return head;
}

/// Texts that may not stand in a value of a head.
const std::vector<std::string> kInvalidTexts = {
    "a\r\nX: y", "a\nb", "a\rb", std::string("a\0b", 3), "a\x7f", "\x01"};

TEST_CASE("a request is serialized only from text that may stand in a head") {
  REQUIRE(RequestBytes::Make(ProperHead(), "x")->text() ==
          "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  std::vector<RequestHead> wrong;
  for (const std::string& text : kInvalidTexts) {
    wrong.insert(wrong.end(), 4, ProperHead());
    wrong.end()[-1].headers.Add("X", text);
    wrong.end()[-2].headers.Add(text, "x");
    wrong.end()[-3].target = text;
    wrong.end()[-4].method = text;
  }
  for (const char* name : {"", "a b", "a:b", "Host "}) {
    wrong.push_back(ProperHead());
    wrong.back().headers.Add(name, "x");
  }
  for (const char* name : {"content-length", "Transfer-Encoding"}) {
    wrong.push_back(ProperHead());
    wrong.back().headers.Add(name, "3");
  }
  wrong.push_back(ProperHead());
  wrong.back().target = "/a b";
  for (const RequestHead& head : wrong) {
    REQUIRE_FALSE(RequestBytes::Make(head, "x").has_value());
    REQUIRE_FALSE(RequestBytes::MakeHead(head, 0).has_value());
  }
}

TEST_CASE("a response is serialized only from text that may stand in a head") {
  for (const std::string& text : kInvalidTexts) {
    Response response = MakeTextResponse("x");
    response.head.headers.Add("X", text);
    REQUIRE_FALSE(
        SerializeHead(response.head, Framing::kLength, 1, true).has_value());
  }
}

TEST_CASE("bytes of a peer are taken over only as exactly one request") {
  const std::string one = "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
  REQUIRE(RequestBytes::Parse(one)->text() == one);
  for (const std::string& bytes :
       {std::string(), one + one, one + "\n", one.substr(0, one.size() - 1),
        std::string("CONNECT h:80 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")}) {
    INFO(bytes);
    REQUIRE_FALSE(RequestBytes::Parse(bytes).has_value());
  }
}

/// Returns a request with these further header lines, an empty line and `body`.
std::string Post(std::string_view lines, std::string_view body) {
  std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\n";
  bytes.append(lines).append("\r\n").append(body);
  return bytes;
}

TEST_CASE("a request whose end is in doubt is rejected") {
  constexpr std::string_view kChunks = "1\r\nx\r\n0\r\n\r\n";
  constexpr std::string_view kNul("X: a\0b\r\n", 8);
  REQUIRE(ErrorOf(Kind::kRequest, Post("Transfer-Encoding: Chunked \r\n",
                                       kChunks)) == ReadError::kNone);
  REQUIRE(ErrorOf(Kind::kRequest, Post("Content-Length: 1 \r\n", "x")) ==
          ReadError::kNone);
  for (const std::string& bytes :
       {std::string("CONNECT h:80 HTTP/1.1\r\nHost: h\r\nContent-Length: 1"
                    "\r\n\r\nx"),
        std::string("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n"),
        Post("Transfer-Encoding : chunked\r\n", kChunks),
        Post("Transfer-Encoding: gzip, chunked\r\n", kChunks),
        Post("Transfer-Encoding: chunked, identity\r\n", kChunks),
        Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             kChunks),
        Post("Transfer-Encoding: identity\r\nContent-Length: 1\r\n", "x"),
        Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", kChunks),
        Post("Content-Length: 1\r\nContent-Length: 1\r\n", "x"),
        Post("Content-Length:\r\n", ""), Post("Content-Length: +1\r\n", "x"),
        Post("X: a\r\n b\r\n", ""), Post("X: a\r\n\tb\r\n", ""),
        Post("X: a\rb\r\n", ""), Post("X: a\nY: b\r\n", ""), Post(kNul, ""),
        Post("Host: i\r\n", ""),
        std::string("POST /a\tb HTTP/1.1\r\nHost: h\r\n\r\n"),
        std::string("POST /a HTTP/2.0\r\nHost: h\r\n\r\n")}) {
    INFO(bytes);
    REQUIRE(ErrorOf(Kind::kRequest, bytes) == ReadError::kMalformed);
  }
}

TEST_CASE("the body of a request of any other method ends with its length") {
  for (const char* method : {"GET", "HEAD", "DELETE", "OPTIONS"}) {
    MessageReader reader(Kind::kRequest, ReadLimits{});
    const std::string bytes =
        std::string(method) +
        " /a HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nConnection: upgrade\r\n"
        "Content-Length: 3\r\n\r\nGET";
    REQUIRE(reader.Feed(bytes) == bytes.size());
    REQUIRE(reader.is_complete());
    REQUIRE(reader.body() == "GET");
  }
}

TEST_CASE("a response whose end is in doubt is rejected") {
  const std::string begin = "HTTP/1.1 200 OK\r\n";
  for (const std::string& bytes :
       {begin + "Transfer-Encoding: gzip\r\n\r\nx",
        begin + "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        std::string("HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\nx")}) {
    INFO(bytes);
    REQUIRE(ErrorOf(Kind::kResponse, bytes) == ReadError::kMalformed);
  }
}

// Guards against a report of operators (MIXED): a caller got an answer in whose
// head the name of a field held a blank or a control byte, with that line or
// with a body that was not the upstream's.
TEST_CASE("a head with a blank or a control byte in a name is rejected") {
  for (const std::string& name : briarspread::testing::MakeAllInvalidNames()) {
    for (const std::string before : {"", "X: y\r\n"}) {
      const std::string lines = before + name + ": 2\r\n\r\n";
      const std::string answer = "HTTP/1.1 200 OK\r\n" + lines + "no";
      CAPTURE(answer);
      REQUIRE(ErrorOf(Kind::kResponse, answer) == ReadError::kMalformed);
      REQUIRE(ErrorOf(Kind::kResponse, "HTTP/1.1 103 Hints\r\n" + lines) ==
              ReadError::kMalformed);
      REQUIRE(ErrorOf(Kind::kRequest, "POST / HTTP/1.1\r\n" + lines + "no") ==
              ReadError::kMalformed);
      // However its bytes are divided.
      MessageReader reader(Kind::kResponse, ReadLimits{});
      for (const char c : answer) reader.Feed(std::string_view(&c, 1));
      REQUIRE(reader.error() == ReadError::kMalformed);
    }
  }
}

// Guards against a report of other operators (MIXED): a caller got an answer
// whose status was 000.
TEST_CASE("only a status of three digits from 100 to 599 is an answer") {
  const auto read = [](const std::string& status) {
    return ErrorOf(Kind::kResponse,
                   "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno");
  };
  for (const char* status : {"200 OK", "200", "200 ", "599 Odd"}) {
    INFO(status);
    REQUIRE(read(status) == ReadError::kNone);
  }
  for (const char* status : {"000 Odd", "00", "0", "020 X", "099 X", "0200 OK",
                             "600 Odd", "999", "20 X", " 200 OK"}) {
    INFO(status);
    REQUIRE(read(status) == ReadError::kMalformed);
  }
  for (const int status : {0, 20, 99, 600, 1000}) {
    REQUIRE_FALSE(
        SerializeHead(ResponseHead{status, {}}, Framing::kLength, 0, true)
            .has_value());
  }
}

TEST_CASE("a status is read wherever the bytes of its line are divided") {
  const std::string bytes = "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    MessageReader reader(Kind::kResponse, ReadLimits{});
    reader.Feed(bytes.substr(0, cut));
    reader.Feed(bytes.substr(cut));
    REQUIRE(reader.is_complete());
    REQUIRE(reader.response().status == 200);
  }
}

}  // namespace
}  // namespace briarspread::proxy
