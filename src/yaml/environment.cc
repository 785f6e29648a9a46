#include "yaml/environment.h"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <system_error>

namespace daisypond::yaml {

std::optional<Error> ReadVariable(const char* name,
                                  Range range,
                                  int64_t* into) {
  const char* value = std::getenv(name);
  if (*into != 0 || value == nullptr || *value == '\0') {
    return std::nullopt;
  }
  const char* end = value + std::strlen(value);
  const auto [last, ec] = std::from_chars(value, end, *into);
  if (ec != std::errc() || last != end || *into < range.lowest ||
      *into > range.highest) {
    return Error{"environment", 0, name, "must be a number in the range"};
  }
  return std::nullopt;
}

}  // namespace daisypond::yaml
