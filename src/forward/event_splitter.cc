#include "forward/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisypond::forward {

namespace {

/// Returns the length of the first event including its final blank line, or
/// npos when `text` holds no complete event.
size_t FirstEventLength(std::string_view text) {
  const size_t plain = text.find("\n\n");
  const size_t with_return = text.find("\n\r\n");
  if (plain == std::string_view::npos &&
      with_return == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < with_return ? plain + 2 : with_return + 3;
}

std::optional<int64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const size_t n = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, n);
    event.remove_prefix(std::min(n + 1, event.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    int64_t value = 0;
    const auto [end, ec] =
        std::from_chars(line.data(), line.data() + line.size(), value);
    if (ec == std::errc() && end == line.data() + line.size()) {
      return value;
    }
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Append(std::string_view bytes) {
  partial_event_ += bytes;
  std::vector<StreamEvent> events;
  std::string_view rest = partial_event_;
  size_t n = FirstEventLength(rest);
  while (n != std::string_view::npos) {
    events.push_back(
        {std::string(rest.substr(0, n)), ParseEventId(rest.substr(0, n))});
    rest.remove_prefix(n);
    n = FirstEventLength(rest);
  }
  partial_event_ = std::string(rest);
  return events;
}

}  // namespace daisypond::forward
