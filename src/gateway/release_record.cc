#include "gateway/release_record.h"

#include <algorithm>
#include <cctype>

#include "base/json.h"

namespace daisypond::gateway {

namespace {

constexpr const char* kVersionsField = "versions";
constexpr const char* kBaseField = "base";
constexpr const char* kEraField = "era";

std::optional<std::set<std::string>> DecodeVersions(const base::Json& json) {
  if (!json.is_array()) {
    return std::nullopt;
  }
  std::set<std::string> versions;
  for (const base::Json& it : json) {
    if (!it.is_string()) {
      return std::nullopt;
    }
    versions.insert(it.get<std::string>());
  }
  return versions;
}

/// Decodes the form with a base.
std::optional<ReleaseRecord> DecodeWithBase(const base::Json& json) {
  if (!json.contains(kVersionsField) || !json.contains(kBaseField) ||
      !json[kBaseField].is_string() || !json.contains(kEraField)) {
    return std::nullopt;
  }
  const auto versions = DecodeVersions(json[kVersionsField]);
  const int64_t era = base::IntegerField(json, kEraField);
  if (!versions || era < 0) {
    return std::nullopt;
  }
  return ReleaseRecord{*versions,
                       BaseVersion{json[kBaseField].get<std::string>(),
                                   static_cast<uint64_t>(era)}};
}

}  // namespace

std::string EncodeReleaseRecord(const ReleaseRecord& record,
                                base::Millis unix_now) {
  const int64_t last_several_at =
      record.versions.size() > 1 ? unix_now.count : 0;
  base::Json json = record.versions;
  if (record.base) {
    json = {{kVersionsField, record.versions},
            {kBaseField, record.base->version},
            {kEraField, record.base->era}};
  }
  return std::to_string(last_several_at) + " " + base::WriteJson(json);
}

std::optional<ReleaseRecord> DecodeReleaseRecord(const std::string& text) {
  const auto number_end =
      std::find_if(text.begin(), text.end(),
                   [](unsigned char it) { return std::isdigit(it) == 0; });
  if (number_end == text.begin()) {
    return std::nullopt;
  }
  if (number_end == text.end()) {
    return ReleaseRecord();
  }
  const base::Json json = base::ParseJson(std::string(number_end, text.end()));
  if (json.is_object()) {
    return DecodeWithBase(json);
  }
  const auto versions = DecodeVersions(json);
  return versions ? std::optional(ReleaseRecord{*versions, std::nullopt})
                  : std::nullopt;
}

std::optional<std::string> BaseInEra(const std::optional<ReleaseRecord>& record,
                                     uint64_t era) {
  return record && record->base && record->base->era == era
             ? std::optional(record->base->version)
             : std::nullopt;
}

}  // namespace daisypond::gateway
