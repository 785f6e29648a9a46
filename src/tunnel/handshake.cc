#include "tunnel/handshake.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace daisypond::tunnel {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kMethod = "CONNECT ";
constexpr std::string_view kProtocolSuffix = " HTTP/1.1";
constexpr std::string_view kAnswerStart = "HTTP/1.1 ";
constexpr std::string_view kFramingField = "Tunnel-Framing";

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || text.front() == '-' || at != end ||
      error != std::errc()) {
    return std::nullopt;
  }
  return number;
}

bool IsSameFieldName(std::string_view a, std::string_view b) {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

/// Returns the header without its final empty line, or why there is none yet.
/// `start` is the text that every header begins with.
tl::expected<std::string_view, ParseError> FindHeader(std::string_view bytes,
                                                      std::string_view start) {
  const size_t n = std::min(bytes.size(), start.size());
  if (bytes.substr(0, n) != start.substr(0, n)) {
    return tl::unexpected(ParseError::kMalformed);
  }
  const std::string_view window = bytes.substr(0, kMaximumHandshakeBytes);
  const size_t end = window.find(kHeaderEnd);
  if (end != std::string_view::npos) {
    return window.substr(0, end);
  }
  return tl::unexpected(window.size() == kMaximumHandshakeBytes
                            ? ParseError::kMalformed
                            : ParseError::kIncomplete);
}

/// Removes the first line from `rest` and returns it without its line end.
std::string_view TakeLine(std::string_view* rest) {
  const size_t end = rest->find(kLineEnd);
  const std::string_view line = rest->substr(0, end);
  rest->remove_prefix(end == std::string_view::npos ? rest->size()
                                                    : end + kLineEnd.size());
  return line;
}

/// The fields of a request. An empty value was not received.
struct Fields {
  std::string_view host;
  std::string_view started_at;
  std::string_view instance;
  std::string_view framing;

  /// Returns the member for a field name, or null for other names.
  std::string_view* Find(std::string_view name) {
    if (IsSameFieldName(name, "Host")) {
      return &host;
    }
    if (IsSameFieldName(name, "Target-Started-At")) {
      return &started_at;
    }
    if (IsSameFieldName(name, kFramingField)) {
      return &framing;
    }
    return IsSameFieldName(name, "Requesting-Instance") ? &instance : nullptr;
  }
};

/// Stores one line. Returns false for a malformed line, for a field that comes
/// twice and for fields that announce content, which a CONNECT request does not
/// have. Ignores other unknown fields.
bool StoreField(std::string_view line, Fields* into) {
  const size_t colon = line.find(": ");
  if (colon == std::string_view::npos || !IsName(line.substr(0, colon))) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(colon + 2);
  if (!IsName(value) || IsSameFieldName(name, "Content-Length") ||
      IsSameFieldName(name, "Transfer-Encoding")) {
    return false;
  }
  std::string_view* field = into->Find(name);
  if (field == nullptr) {
    return true;
  }
  if (!field->empty()) {
    return false;
  }
  *field = value;
  return true;
}

/// A form that this build does not know is not used.
Framing ParseFraming(std::string_view text) {
  return text == kFramingNames.NameOf(Framing::kFrames) ? Framing::kFrames
                                                        : Framing::kNone;
}

/// Returns the field that names the form, with its line end; empty for kNone.
std::string FormatFraming(Framing framing) {
  return framing == Framing::kNone ? ""
                                   : fmt::format("{}: {}\r\n", kFramingField,
                                                 kFramingNames.NameOf(framing));
}

/// Finds the form among the fields of an answer, of which all others are
/// ignored.
Framing FindFraming(std::string_view fields) {
  while (!fields.empty()) {
    const std::string_view line = TakeLine(&fields);
    const size_t colon = line.find(": ");
    if (colon != std::string_view::npos &&
        IsSameFieldName(line.substr(0, colon), kFramingField)) {
      return ParseFraming(line.substr(colon + 2));
    }
  }
  return Framing::kNone;
}

std::optional<std::string_view> ParseRequestLine(std::string_view line) {
  if (!line.starts_with(kMethod) || !line.ends_with(kProtocolSuffix) ||
      line.size() <= kMethod.size() + kProtocolSuffix.size()) {
    return std::nullopt;
  }
  const std::string_view target = line.substr(
      kMethod.size(), line.size() - kMethod.size() - kProtocolSuffix.size());
  return IsName(target) ? std::optional(target) : std::nullopt;
}

std::optional<ConnectRequest> ParseHeader(std::string_view header) {
  const auto target = ParseRequestLine(TakeLine(&header));
  if (!target) {
    return std::nullopt;
  }
  Fields fields;
  while (!header.empty()) {
    if (!StoreField(TakeLine(&header), &fields)) {
      return std::nullopt;
    }
  }
  const auto started_at = ParseNumber(fields.started_at);
  if (!started_at || fields.host != *target || fields.instance.empty()) {
    return std::nullopt;
  }
  return ConnectRequest{std::string(*target), *started_at,
                        std::string(fields.instance),
                        ParseFraming(fields.framing)};
}

}  // namespace

std::optional<std::string> FormatRequest(const ConnectRequest& request) {
  if (!IsName(request.target) || !IsName(request.instance) ||
      request.started_at < 0) {
    return std::nullopt;
  }
  return fmt::format(
      "CONNECT {} HTTP/1.1\r\n"
      "Host: {}\r\n"
      "Target-Started-At: {}\r\n"
      "Requesting-Instance: {}\r\n"
      "{}\r\n",
      request.target, request.target, request.started_at, request.instance,
      FormatFraming(request.framing));
}

tl::expected<ParsedRequest, ParseError> ParseRequest(std::string_view bytes) {
  const auto header = FindHeader(bytes, kMethod);
  if (!header) {
    return tl::unexpected(header.error());
  }
  auto request = ParseHeader(*header);
  if (!request) {
    return tl::unexpected(ParseError::kMalformed);
  }
  return ParsedRequest{std::move(*request), header->size() + kHeaderEnd.size()};
}

std::string FormatAnswer(Status status, Framing framing) {
  switch (status) {
    case Status::kOpen:
      return fmt::format("HTTP/1.1 200 OK\r\n{}\r\n", FormatFraming(framing));
    case Status::kTargetUnreachable:
      return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
    default:
      return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  }
}

tl::expected<ParsedAnswer, ParseError> ParseAnswer(std::string_view bytes) {
  const auto header = FindHeader(bytes, kAnswerStart);
  if (!header) {
    return tl::unexpected(header.error());
  }
  std::string_view fields = *header;
  const std::string_view status = TakeLine(&fields).substr(kAnswerStart.size());
  const size_t size = header->size() + kHeaderEnd.size();
  // The reason follows a space.
  const std::string_view code = status.substr(0, status.find_first_of(" \r"));
  if (code == "200") {
    return ParsedAnswer{Status::kOpen, FindFraming(fields), size};
  }
  if (code == "502") {
    return ParsedAnswer{Status::kTargetUnreachable, Framing::kNone, size};
  }
  if (code == "503") {
    return ParsedAnswer{Status::kRefused, Framing::kNone, size};
  }
  return tl::unexpected(ParseError::kMalformed);
}

}  // namespace daisypond::tunnel
