#ifndef DAISYPOND_BASE_JSON_H_
#define DAISYPOND_BASE_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace daisypond::base {

using Json = nlohmann::json;

/// Parses a text. The value `is_discarded()` when the text is not JSON or is
/// nested too deeply to be read safely.
Json ParseJson(std::string_view text);

/// Writes a value; bytes that are not UTF-8 are replaced.
std::string WriteJson(const Json& value);

/// The readers below return the fallback when the object has no such key or
/// the value is of another type.
std::string StringField(const Json& object,
                        const char* key,
                        std::string fallback = "");
int64_t IntegerField(const Json& object, const char* key, int64_t fallback = 0);
bool BoolField(const Json& object, const char* key, bool fallback = false);

/// The array at `key`, or an empty array.
const Json& ArrayField(const Json& object, const char* key);

/// The object at `key`, or an empty object.
const Json& ObjectField(const Json& object, const char* key);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_JSON_H_
