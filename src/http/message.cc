#include "http/message.h"

#include <strings.h>

namespace daisypond::http {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view ServerRequest::HeaderValue(std::string_view name) const {
  for (const Header& it : headers) {
    if (EqualsIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

std::string ServerRequest::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

}  // namespace daisypond::http
