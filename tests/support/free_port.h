#ifndef TESTS_SUPPORT_FREE_PORT_H_
#define TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>

namespace briarspread::testing {

/// Returns a TCP port of the loopback interface on which nothing listens.
std::uint16_t FreePort();

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_FREE_PORT_H_
