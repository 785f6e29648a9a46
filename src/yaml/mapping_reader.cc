#include "yaml/mapping_reader.h"

#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace daisypond::yaml {

namespace {

constexpr int kHighestPort = 65535;

template <typename Number>
bool ToNumber(const std::string& text, Number* value) {
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, *value);
  return ec == std::errc() && last == end;
}

bool IsIpv4AddressAndPort(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  int port = 0;
  if (!ToNumber(text.substr(colon + 1), &port) || port < 1 ||
      port > kHighestPort) {
    return false;
  }
  in_addr address{};
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) == 1;
}

}  // namespace

MappingReader::MappingReader(const Node& node,
                             std::string path,
                             std::optional<Error>* error)
    : node_(node), path_(std::move(path)), error_(error) {}

std::string MappingReader::PathOf(std::string_view key) const {
  if (key.empty() || path_.empty()) {
    return path_ + std::string(key);
  }
  return path_ + "." + std::string(key);
}

void MappingReader::SetError(std::string_view key, std::string message) {
  if (error_->has_value()) {
    return;
  }
  const Node* at = key.empty() ? nullptr : node_.Find(key);
  if (at == nullptr) {
    at = &node_;
  }
  *error_ = Error{at->file, at->line, PathOf(key), std::move(message)};
}

const Node* MappingReader::ReadNode(std::string_view key) {
  read_keys_.emplace(key);
  return node_.Find(key);
}

const Node* MappingReader::ReadScalar(std::string_view key) {
  const Node* node = ReadNode(key);
  if (node != nullptr && node->kind != NodeKind::kScalar) {
    SetError(key, "must be a single value");
    return nullptr;
  }
  return node;
}

bool MappingReader::IsMapping(std::string_view key, const Node& node) {
  if (node.kind == NodeKind::kMapping) {
    return true;
  }
  SetError(key, "must be a mapping");
  return false;
}

std::string MappingReader::Text(std::string_view key,
                                const std::string& fallback) {
  const Node* node = ReadScalar(key);
  return node == nullptr ? fallback : node->scalar;
}

std::string MappingReader::RequiredText(std::string_view key) {
  std::string text = Text(key);
  if (text.empty()) {
    SetError(key, "is required");
  }
  return text;
}

int64_t MappingReader::Integer(std::string_view key,
                               Range range,
                               int64_t fallback) {
  const Node* node = ReadScalar(key);
  if (node == nullptr) {
    return fallback;
  }
  int64_t value = 0;
  if (!ToNumber(node->scalar, &value) || value < range.lowest ||
      value > range.highest) {
    SetError(key, fmt::format("must be a whole number from {} to {}",
                              range.lowest, range.highest));
    return fallback;
  }
  return value;
}

double MappingReader::Decimal(std::string_view key,
                              double lowest,
                              double fallback) {
  const Node* node = ReadScalar(key);
  if (node == nullptr) {
    return fallback;
  }
  double value = 0;
  if (!ToNumber(node->scalar, &value) || !(value >= lowest)) {
    SetError(key, fmt::format("must be a number of at least {}", lowest));
    return fallback;
  }
  return value;
}

bool MappingReader::Bool(std::string_view key, bool fallback) {
  const std::string text = Text(key);
  if (text.empty()) {
    return fallback;
  }
  if (text != "true" && text != "false") {
    SetError(key, "must be true or false");
  }
  return text == "true";
}

base::Millis MappingReader::Duration(std::string_view key,
                                     Range range,
                                     base::Millis fallback) {
  return {Integer(key, range, fallback.count)};
}

std::vector<std::string> MappingReader::TextList(std::string_view key) {
  const Node* node = ReadNode(key);
  std::vector<std::string> list;
  if (node == nullptr) {
    return list;
  }
  if (node->kind != NodeKind::kSequence) {
    SetError(key, "must be a list");
    return list;
  }
  for (const Node& it : node->items) {
    if (it.kind != NodeKind::kScalar) {
      SetError(key, "must be a list of single values");
      return list;
    }
    list.push_back(it.scalar);
  }
  return list;
}

std::string MappingReader::Address(std::string_view key, bool is_required) {
  std::string text = is_required ? RequiredText(key) : Text(key);
  if (!text.empty() && !IsIpv4AddressAndPort(text)) {
    SetError(key, "must be an IPv4 address and port such as 127.0.0.1:8080");
  }
  return text;
}

void MappingReader::RejectUnknownKeys() {
  for (const Entry& it : node_.entries) {
    if (!read_keys_.contains(it.key)) {
      SetError(it.key, "unknown key");
      return;
    }
  }
}

}  // namespace daisypond::yaml
