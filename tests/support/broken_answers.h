#ifndef TESTS_SUPPORT_BROKEN_ANSWERS_H_
#define TESTS_SUPPORT_BROKEN_ANSWERS_H_

#include <deque>
#include <string>

#include "tests/support/raw_upstream.h"

namespace briarspread::testing {

/// More than the buffers of both ends of a connection hold, so that a request
/// with such a body is still being written when `RawUpstream` answers it.
constexpr std::size_t kLongBodyBytes = std::size_t{12} * 1024 * 1024;

/// Returns an answer for `RawUpstream`: a 200 without a length, with these
/// header lines, that is reset after `body`.
inline std::string MakeResetAnswer(const std::string& lines,
                                   const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body +
         RawUpstream::kResetLater;
}

/// Returns as many such answers as any request of the tests takes attempts.
inline std::deque<std::string> Repeat(const std::string& answer) {
  constexpr std::size_t kAttempts = 8;
  return std::deque<std::string>(kAttempts, answer);
}

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_BROKEN_ANSWERS_H_
