#include "http/sse_parser.h"

#include <utility>

namespace daisypond::http {

namespace {

constexpr size_t kMaximumEventBytes = 1 << 20;

}  // namespace

std::vector<SseEvent> SseParser::Feed(std::string_view bytes) {
  std::vector<SseEvent> events;
  if (is_event_too_large_) {
    return events;
  }
  unparsed_.append(bytes);
  size_t start = 0;
  for (size_t end = unparsed_.find('\n'); end != std::string::npos;
       end = unparsed_.find('\n', start)) {
    std::string_view line =
        std::string_view(unparsed_).substr(start, end - start);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    ParseLine(line, &events);
    start = end + 1;
  }
  unparsed_.erase(0, start);
  is_event_too_large_ =
      unparsed_.size() + event_.data.size() > kMaximumEventBytes;
  return events;
}

void SseParser::ParseLine(std::string_view line,
                          std::vector<SseEvent>* events) {
  if (line.empty()) {
    if (has_data_) {
      events->push_back(std::exchange(event_, {}));
    }
    event_ = {};
    has_data_ = false;
    return;
  }
  const size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (has_data_) {
      event_.data += '\n';
    }
    event_.data += value;
    has_data_ = true;
  } else if (field == "id") {
    event_.id = value;
  } else if (field == "event") {
    event_.name = value;
  }
}

std::string ToSse(const SseEvent& event) {
  std::string buf;
  if (!event.id.empty()) {
    buf += "id: " + event.id + "\n";
  }
  if (!event.name.empty()) {
    buf += "event: " + event.name + "\n";
  }
  return buf + "data: " + event.data + "\n\n";
}

}  // namespace daisypond::http
