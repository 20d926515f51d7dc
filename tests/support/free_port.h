#ifndef TESTS_SUPPORT_FREE_PORT_H_
#define TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>

namespace briarspread::testing {

/// A TCP port of loopback that nothing listens on.
std::uint16_t FreePort();

}  // namespace briarspread::testing

#endif  // TESTS_SUPPORT_FREE_PORT_H_
