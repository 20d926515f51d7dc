#ifndef TESTS_SUPPORT_BROKEN_ANSWERS_H_
#define TESTS_SUPPORT_BROKEN_ANSWERS_H_

#include <deque>
#include <string>
#include <vector>

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

/// Names of a field that hold a blank or a control byte: one for each kind of
/// line that a parser may read as a continued line, as the end of the head or
/// as a field.
inline const std::vector<std::string> kInvalidNames = {
    " Content-Length", "\tX", "\rX", "\nX", "X Y", "X\x01"};

/// Returns a field's name with each blank or control byte at its beginning,
/// in its middle and at its end.
inline std::vector<std::string> MakeAllInvalidNames() {
  std::vector<std::string> names;
  const std::string name = "Content-Length";
  constexpr char kDelete = 0x7f;
  for (char byte = 0; byte <= ' '; ++byte) {
    for (const std::size_t at :
         {std::size_t{0}, name.size() / 2, name.size()}) {
      names.push_back(name);
      names.back().insert(at, 1, byte);
    }
  }
  names.push_back(name + kDelete);
  return names;
}

/// Returns an answer for `RawUpstream` with these header lines and one whose
/// name is `name`, that ends with a regular close.
inline std::string MakeAnswerWithName(const std::string& lines,
                                      const std::string& name,
                                      const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + lines + name + ": 2\r\n\r\n" + body +
         RawUpstream::kClose;
}

/// Returns invalid answers for `RawUpstream` with these header lines: one with
/// status 000, and one for each of `kInvalidNames`.
inline std::vector<std::string> MakeInvalidAnswers(const std::string& lines,
                                                   const std::string& body) {
  std::vector<std::string> answers = {"HTTP/1.1 000 Odd\r\n" + lines + "\r\n" +
                                      body + RawUpstream::kClose};
  for (const std::string& name : kInvalidNames) {
    answers.push_back(MakeAnswerWithName(lines, name, body));
  }
  return answers;
}

/// Returns the answer once for each attempt that a request of the tests can
/// make.
inline std::deque<std::string> RepeatAnswer(const std::string& answer) {
  constexpr std::size_t kAttempts = 8;
  return std::deque<std::string>(kAttempts, answer);
}

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_BROKEN_ANSWERS_H_
