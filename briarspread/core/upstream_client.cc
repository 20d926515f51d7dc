#include "briarspread/core/upstream_client.h"

#include <strings.h>

namespace briarspread {

std::string FindHeader(const std::vector<Header>& headers,
                       std::string_view name) {
  for (const Header& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return "";
}

}  // namespace briarspread
