#ifndef BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_
#define BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/upstream.h"

namespace briarspread {

/// Whether the endpoint's machine refuses connections there (ECONNREFUSED):
/// proof that no process listens. A timeout, an unreachable network or a lack
/// of own descriptors is no such proof. Blocks at most `timeout`. Thread-safe.
bool IsConnectionRefused(const Endpoint& endpoint, milliseconds timeout);

}  // namespace briarspread

#endif  // BRIARSPREAD_TRANSPORT_CONNECT_PROBE_H_
