#ifndef BRIARSPREAD_GATEWAY_ERROR_BODY_H_
#define BRIARSPREAD_GATEWAY_ERROR_BODY_H_

#include <string>

#include "briarspread/core/result.h"

namespace briarspread {

/// Parses a JSON body written by `RespondError`. Returns `kInternal` with
/// verdict `kMayHaveRun` if the body is malformed. Thread-safe.
Error ParseErrorBody(const std::string& body);

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_ERROR_BODY_H_
