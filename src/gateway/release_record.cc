#include "gateway/release_record.h"

#include <algorithm>
#include <cctype>

#include "base/json.h"

namespace daisypond::gateway {

std::string EncodeReleaseRecord(const std::set<std::string>& versions,
                                base::Millis unix_now) {
  const int64_t last_several_at = versions.size() > 1 ? unix_now.count : 0;
  return std::to_string(last_several_at) + " " +
         base::WriteJson(base::Json(versions));
}

std::optional<std::set<std::string>> DecodeReleaseRecord(
    const std::string& text) {
  const auto number_end =
      std::find_if(text.begin(), text.end(),
                   [](unsigned char it) { return std::isdigit(it) == 0; });
  if (number_end == text.begin()) {
    return std::nullopt;
  }
  std::set<std::string> versions;
  if (number_end == text.end()) {
    return versions;
  }
  const base::Json json = base::ParseJson(std::string(number_end, text.end()));
  if (!json.is_array()) {
    return std::nullopt;
  }
  for (const base::Json& it : json) {
    if (!it.is_string()) {
      return std::nullopt;
    }
    versions.insert(it.get<std::string>());
  }
  return versions;
}

}  // namespace daisypond::gateway
