#ifndef STANDINS_COMMON_REGISTRATION_H_
#define STANDINS_COMMON_REGISTRATION_H_

#include <string>

#include "briarspread/core/upstream.h"

namespace briarspread::standins {

/// Adds or replaces a row of the stand-in platform's instance list, by Consul's
/// `/v1/catalog/register`. Returns whether the platform took it.
bool RegisterInstance(const Endpoint& platform, const ListedInstance& instance);

/// Reads `host:port`. Returns an endpoint with port 0 where it is malformed.
Endpoint ParseEndpoint(const std::string& text);

/// Serves until SIGTERM or SIGINT arrives. Precondition: the signals were
/// blocked by `BlockStopSignals` before any thread started.
void WaitForStopSignal();

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts.
void BlockStopSignals();

}  // namespace briarspread::standins

#endif  // STANDINS_COMMON_REGISTRATION_H_
