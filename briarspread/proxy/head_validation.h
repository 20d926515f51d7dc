#ifndef BRIARSPREAD_PROXY_HEAD_VALIDATION_H_
#define BRIARSPREAD_PROXY_HEAD_VALIDATION_H_

#include <string_view>

#include "briarspread/proxy/http_message.h"

namespace briarspread::proxy {

/// Whether a text is a token: a method or the name of a header. Thread-safe.
bool IsToken(std::string_view text);
/// Whether a text may be the value of a header: no control characters except
/// tabs. Thread-safe.
bool IsHeaderValue(std::string_view text);
/// Whether a text may be the target of a request: not empty, without spaces and
/// control characters. Thread-safe.
bool IsRequestTarget(std::string_view text);

/// Whether all names and values are valid text. Thread-safe.
bool HasValidText(const HeaderList& headers);

/// Whether all receivers of a head agree on where its message ends: at most one
/// length, and no transfer coding other than `chunked`. A length beside
/// `chunked` is the parser's to reject. Thread-safe.
bool IsFramingUnambiguous(const HeaderList& headers);

/// Whether a received head may be handled as a request. A `CONNECT` request may
/// not: the bytes after its head are not a body, whatever its length says.
/// Thread-safe.
bool IsAcceptable(const RequestHead& head);
/// Whether a received head may be handled as a response. Thread-safe.
bool IsAcceptable(const ResponseHead& head);

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_HEAD_VALIDATION_H_
