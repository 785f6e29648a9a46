#include "http/response_head_checker.h"

#include <algorithm>

namespace daisypond::http {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/";
constexpr std::string_view kVersion = "HTTP/1.";
// "HTTP/1.1 200"
constexpr size_t kStatusAt = 9;
constexpr size_t kStatusEnd = 12;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsTextCharacter(char c) {
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  const auto byte = static_cast<unsigned char>(c);
  return (byte >= kFirstVisible && byte != kDelete) || c == '\t';
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextCharacter);
}

bool IsStatusLine(std::string_view line) {
  if (!line.starts_with(kVersion) || line.size() < kStatusEnd) {
    return false;
  }
  const char version = line[kVersion.size()];
  const std::string_view status =
      line.substr(kStatusAt, kStatusEnd - kStatusAt);
  const std::string_view rest = line.substr(kStatusEnd);
  return (version == '0' || version == '1') && line[kStatusAt - 1] == ' ' &&
         status[0] >= '1' && status[0] <= '5' && IsDigit(status[1]) &&
         IsDigit(status[2]) && (rest.empty() || rest[0] == ' ') && IsText(rest);
}

bool IsFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  return std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         IsText(line.substr(colon + 1));
}

std::string_view WithoutLineEnding(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

bool ResponseHeadChecker::CheckLine(std::string_view line) {
  line = WithoutLineEnding(line);
  const bool is_status_line = expected_ == Expected::kStatusLine ||
                              (expected_ == Expected::kStatusOrFieldLine &&
                               line.starts_with(kVersionPrefix));
  if (is_status_line) {
    expected_ = Expected::kFieldLine;
    return IsStatusLine(line);
  }
  if (line.empty()) {
    expected_ = Expected::kStatusOrFieldLine;
    return true;
  }
  return IsFieldLine(line);
}

}  // namespace daisypond::http
