// Answers that are cut by a reset while their request is still being written.
// They guard against a report of operators (MIXED): a 200 without a length, cut
// in this way, was taken for a whole answer.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "briarspread/proxy/connection_pool.h"
#include "briarspread/proxy/http_call.h"
#include "tests/support/broken_answers.h"
#include "tests/support/loop_runner.h"

namespace briarspread::proxy {
namespace {

using briarspread::testing::kLongBodyBytes;
using briarspread::testing::RawUpstream;
using briarspread::testing::RunUntil;

/// Sends a request with a body of `body_bytes` to an upstream that sends
/// `answer`.
CallResult CallUpstream(const std::string& answer, std::size_t body_bytes) {
  asio::io_context loop;
  RawUpstream upstream(loop, {answer});
  ConnectionPool pool(loop, {});
  ExchangeRequest request;
  request.to = upstream.endpoint();
  request.bytes = RequestBytes::Make(RequestHead{"POST", "/", {}},
                                     std::string(body_bytes, 'b'));
  std::optional<CallResult> result;
  StartCall(pool, std::move(request),
            [&result](CallResult got) { result = std::move(got); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  return *result;
}

const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kUndelimited = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";

TEST_CASE("an answer without a length that is reset is not whole") {
  for (const std::string& begin : {kUndelimited, kUndelimited + "half",
                                   kInterim + kUndelimited + "half"}) {
    for (const char end : {RawUpstream::kReset, RawUpstream::kResetLater}) {
      for (const std::size_t body_bytes : {std::size_t{0}, kLongBodyBytes}) {
        INFO(begin << end << body_bytes);
        const CallResult result = CallUpstream(begin + end, body_bytes);
        const auto* failure = std::get_if<ExchangeFailure>(&result);
        REQUIRE(failure != nullptr);
        REQUIRE(failure->fault == ExchangeFault::kBroken);
        REQUIRE(failure->verdict == Verdict::kMayHaveRun);
      }
    }
  }
}

TEST_CASE("an early answer is whole if it ends before the reset") {
  for (const std::string& answer :
       {kUndelimited + "whole" + RawUpstream::kCloseAndResetLater,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" +
            std::string(1, RawUpstream::kResetLater),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n0\r\n\r\n" +
            std::string(1, RawUpstream::kResetLater)}) {
    INFO(answer);
    const CallResult result = CallUpstream(answer, kLongBodyBytes);
    REQUIRE(std::holds_alternative<Response>(result));
    REQUIRE(std::get<Response>(result).body == "whole");
  }
}

}  // namespace
}  // namespace briarspread::proxy
