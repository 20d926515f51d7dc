#include "briarspread/proxy/message_reader.h"

#include <catch2/catch.hpp>

namespace briarspread::proxy {
namespace {

using Kind = MessageReader::Kind;

ReadError ErrorOf(const std::string& bytes, const ReadLimits& limits = {}) {
  MessageReader reader(Kind::kRequest, limits);
  reader.Feed(bytes);
  return reader.error();
}

TEST_CASE("a media type is read without its parameters") {
  HeaderList headers;
  REQUIRE(headers.MediaType().empty());
  for (const char* line : {"text/event-stream", "text/event-stream; charset=x",
                           "text/event-stream ;x"}) {
    headers.Set("content-type", line);
    REQUIRE(headers.MediaType() == "text/event-stream");
  }
}

TEST_CASE("a request is parsed byte by byte up to its last byte") {
  const std::string first =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
  MessageReader reader(Kind::kRequest, ReadLimits{});
  for (const char c : first) {
    REQUIRE(reader.Feed(std::string_view(&c, 1)) == 1);
  }
  REQUIRE(reader.is_complete());
  REQUIRE(reader.Feed("GET") == 0);
  REQUIRE(reader.request().method == "POST");
  REQUIRE(reader.request().target == "/a?b=c");
  REQUIRE(*reader.request().headers.Find("host") == "h");
  REQUIRE(reader.body() == "xyz");
  REQUIRE(reader.keeps_alive());

  reader.StartNext();
  const std::string second = "GET / HTTP/1.1\r\nConnection: close\r\n\r\nrest";
  REQUIRE(reader.Feed(second) == second.size() - 4);
  REQUIRE(reader.is_complete());
  REQUIRE_FALSE(reader.keeps_alive());
}

TEST_CASE("a chunked body is reassembled") {
  MessageReader reader(Kind::kRequest, ReadLimits{});
  reader.Feed(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(reader.is_complete());
  REQUIRE(reader.body() == "abcde");
}

TEST_CASE("a request that parsers could interpret differently is rejected") {
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          ReadError::kMalformed);
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Content-Length: 4\r\n\r\nabcd") == ReadError::kMalformed);
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "x\r\n") == ReadError::kMalformed);
  REQUIRE(ErrorOf("GET / HTTP/1.1\nHost: h\n\n") == ReadError::kMalformed);
  REQUIRE(ErrorOf("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n") ==
          ReadError::kMalformed);
  REQUIRE(ErrorOf("nonsense\r\n\r\n") == ReadError::kMalformed);
}

TEST_CASE("bare line feeds are allowed in a body") {
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\na\nb\n") ==
          ReadError::kNone);
  MessageReader reader(Kind::kRequest, ReadLimits{});
  reader.Feed("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r");
  reader.Feed("\na\nb\n");
  REQUIRE(reader.error() == ReadError::kNone);
  REQUIRE(reader.is_complete());
}

TEST_CASE("a head or body above its size limit is rejected") {
  const ReadLimits limits{64, 8};
  REQUIRE(ErrorOf("GET / HTTP/1.1\r\nX: " + std::string(100, 'x'), limits) ==
          ReadError::kHeadTooLarge);
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n", limits) ==
          ReadError::kBodyTooLarge);
  REQUIRE(ErrorOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "9\r\n123456789\r\n",
                  limits) == ReadError::kBodyTooLarge);
}

TEST_CASE("the close of the connection completes a response without length") {
  MessageReader reader(Kind::kResponse, ReadLimits{});
  reader.Feed("HTTP/1.1 200 OK\r\n\r\npart");
  REQUIRE_FALSE(reader.is_complete());
  REQUIRE(reader.FeedEnd());
  REQUIRE(reader.body() == "part");
  REQUIRE_FALSE(reader.keeps_alive());
}

TEST_CASE("a truncated response is not complete") {
  MessageReader reader(Kind::kResponse, ReadLimits{});
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
  REQUIRE_FALSE(reader.FeedEnd());
  MessageReader chunked(Kind::kResponse, ReadLimits{});
  chunked.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart");
  REQUIRE_FALSE(chunked.FeedEnd());
}

TEST_CASE("hop-by-hop headers are removed") {
  HeaderList headers;
  headers.Add("Connection", "close, X-Secret");
  headers.Add("X-Secret", "1");
  headers.Add("Keep-Alive", "timeout=3");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Kept", "2");
  headers.RemoveHopByHop();
  REQUIRE(headers.lines().size() == 1);
  REQUIRE(*headers.Find("x-kept") == "2");
}

TEST_CASE("an encoded query parameter decodes to its original value") {
  const std::string value = "a b&c=d/%\xff";
  const std::string query = "x=1&key=" + EncodeParameter(value);
  REQUIRE(FindParameter(query, "key") == value);
  REQUIRE_FALSE(FindParameter(query, "other").has_value());
  REQUIRE_FALSE(FindParameter("key=%4", "key").has_value());
}

}  // namespace
}  // namespace briarspread::proxy
