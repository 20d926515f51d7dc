#ifndef BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_
#define BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// Returns whether a new TCP connection to `endpoint` is refused
/// (ECONNREFUSED), which proves that no process listens on its port. Returns
/// false for every other failure, such as a timeout, an unreachable network, no
/// free file descriptor, or a host that is not an IPv4 address. Blocks for at
/// most `timeout`. Thread-safe.
bool IsConnectionRefused(const Endpoint& endpoint, milliseconds timeout);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_
