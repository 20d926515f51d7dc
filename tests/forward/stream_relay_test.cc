#include "briarspread/forward/stream_relay.h"

#include <catch2/catch.hpp>

namespace briarspread::forward {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

TEST_CASE("whole events are passed on wherever the input is split") {
  const std::string stream = Event(1) + Event(2) + "id: 3\ndata: half";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    StreamRelay relay(std::nullopt);
    std::string out;
    for (const auto& part : {stream.substr(0, cut), stream.substr(cut)}) {
      REQUIRE(relay.Feed(part, out) == StreamRelay::Outcome::kOk);
    }
    REQUIRE(out == Event(1) + Event(2));
    REQUIRE(relay.has_partial());
    REQUIRE(relay.last_event_id() == 2);
  }
}

TEST_CASE("after a restart each event is passed on exactly once") {
  StreamRelay relay(std::nullopt);
  std::string out;
  relay.Feed(Event(1) + Event(2) + "id: 3\nda", out);
  relay.Restart();
  REQUIRE_FALSE(relay.has_partial());
  REQUIRE(relay.Feed(Event(2) + Event(3) + Event(4), out) ==
          StreamRelay::Outcome::kOk);
  REQUIRE(out == Event(1) + Event(2) + Event(3) + Event(4));
}

TEST_CASE("a missing event is reported and no later event is passed on") {
  StreamRelay relay(7);
  std::string out;
  REQUIRE(relay.Feed(Event(8) + Event(10), out) == StreamRelay::Outcome::kGap);
  REQUIRE(out == Event(8));
}

TEST_CASE("comments and lines of other fields are passed on unchanged") {
  StreamRelay relay(std::nullopt);
  std::string out;
  const std::string stream =
      ": hello\n\nweights: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n";
  relay.Feed(stream, out);
  REQUIRE(out == stream);
}

}  // namespace
}  // namespace briarspread::forward
