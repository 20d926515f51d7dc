#ifndef BRIARSPREAD_GATEWAY_ERROR_BODY_H_
#define BRIARSPREAD_GATEWAY_ERROR_BODY_H_

#include <string>

#include "briarspread/core/result.h"

namespace briarspread {

/// The error that `RespondError` wrote into a JSON body. A body that cannot be
/// read gives `kInternal` with `kMayHaveRun`. Thread-safe.
Error ParseErrorBody(const std::string& body);

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_ERROR_BODY_H_
