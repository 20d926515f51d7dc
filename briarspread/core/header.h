#ifndef BRIARSPREAD_CORE_HEADER_H_
#define BRIARSPREAD_CORE_HEADER_H_

#include <string>

namespace briarspread {

/// One header line of an HTTP message.
struct Header {
  /// Compared case-insensitively.
  std::string name;
  std::string value;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_HEADER_H_
