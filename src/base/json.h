#ifndef DAISYPOND_BASE_JSON_H_
#define DAISYPOND_BASE_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace daisypond::base {

using Json = nlohmann::json;

/// Parses JSON text. Does not throw: when the text is not valid JSON or is
/// nested too deeply, is_discarded() of the returned value is true.
Json ParseJson(std::string_view text);

/// Serializes a value. Invalid UTF-8 in strings is replaced by U+FFFD.
std::string WriteJson(const Json& value);

/// StringField, IntegerField and BoolField return the value at `key`, or
/// `fallback` when `object` is not a JSON object, does not have the key or has
/// a value of another type there.
std::string StringField(const Json& object,
                        const char* key,
                        std::string fallback = "");
int64_t IntegerField(const Json& object, const char* key, int64_t fallback = 0);
bool BoolField(const Json& object, const char* key, bool fallback = false);

/// Returns the array at `key`, or an empty array when `object` has no array
/// there.
const Json& ArrayField(const Json& object, const char* key);

/// Returns the object at `key`, or an empty object when `object` has no object
/// there.
const Json& ObjectField(const Json& object, const char* key);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_JSON_H_
