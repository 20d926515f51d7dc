#ifndef STANDINS_COMMON_REGISTRATION_H_
#define STANDINS_COMMON_REGISTRATION_H_

#include <string>

#include "briarspread/core/upstream.h"

namespace briarspread::standins {

/// Adds or replaces a row of the stand-in platform's instance list through
/// Consul's `/v1/catalog/register`. Returns whether the platform responded with
/// status 200.
bool RegisterInstance(const Endpoint& platform, const ListedInstance& instance);

/// Parses `host:port`. Returns an endpoint with port 0 if `text` has no colon
/// or the port isn't between 1 and 65535.
Endpoint ParseEndpoint(const std::string& text);

/// Blocks the calling thread until the process receives SIGTERM or SIGINT.
/// Precondition: `BlockStopSignals` was called before any thread was started.
void WaitForStopSignal();

/// Adds SIGTERM and SIGINT to the signal mask of the calling thread. Threads
/// that it starts afterwards inherit the mask.
void BlockStopSignals();

}  // namespace briarspread::standins

#endif  // STANDINS_COMMON_REGISTRATION_H_
