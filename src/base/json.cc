#include "base/json.h"

#include <algorithm>
#include <utility>

namespace daisypond::base {

namespace {

// nlohmann::json parses without recursion, but destroys and writes values
// recursively, so deep nesting could overflow the stack.
constexpr int kMaximumDepth = 64;

const Json* Find(const Json& object, const char* key) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(key);
  return it == object.end() ? nullptr : &*it;
}

bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      i += c == '\\' ? 1 : 0;
      is_in_string = c != '"';
    } else if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaximumDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

Json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text, nullptr, false);
}

std::string WriteJson(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string StringField(const Json& object,
                        const char* key,
                        std::string fallback) {
  const Json* value = Find(object, key);
  if (value == nullptr || !value->is_string()) {
    return fallback;
  }
  return value->get<std::string>();
}

int64_t IntegerField(const Json& object, const char* key, int64_t fallback) {
  const Json* value = Find(object, key);
  if (value == nullptr || !value->is_number_integer()) {
    return fallback;
  }
  return value->get<int64_t>();
}

bool BoolField(const Json& object, const char* key, bool fallback) {
  const Json* value = Find(object, key);
  if (value == nullptr || !value->is_boolean()) {
    return fallback;
  }
  return value->get<bool>();
}

const Json& ArrayField(const Json& object, const char* key) {
  static const Json kEmpty = Json::array();
  const Json* value = Find(object, key);
  return value != nullptr && value->is_array() ? *value : kEmpty;
}

const Json& ObjectField(const Json& object, const char* key) {
  static const Json kEmpty = Json::object();
  const Json* value = Find(object, key);
  return value != nullptr && value->is_object() ? *value : kEmpty;
}

}  // namespace daisypond::base
