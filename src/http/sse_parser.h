#ifndef DAISYPOND_HTTP_SSE_PARSER_H_
#define DAISYPOND_HTTP_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace daisypond::http {

/// One server-sent event (content type text/event-stream).
struct SseEvent {
  std::string id;
  std::string name;
  std::string data;
};

/// Parses a byte stream into server-sent events as the WHATWG HTML standard
/// specifies in "Interpreting an event stream", except that a CR alone does not
/// end a line.
class SseParser {
 public:
  /// Parses more bytes of the stream and returns the events that they complete.
  /// An event is complete when the blank line after it has been parsed.
  std::vector<SseEvent> Feed(std::string_view bytes);

  /// True when the incomplete event exceeded the size limit. Feed() then
  /// ignores the rest of the stream.
  bool IsEventTooLarge() const { return is_event_too_large_; }

 private:
  void ParseLine(std::string_view line, std::vector<SseEvent>* events);

  std::string unparsed_;
  SseEvent event_;
  bool has_data_ = false;
  bool is_event_too_large_ = false;
};

/// Formats one event for a text/event-stream, including the blank line that
/// ends it. `data` must not contain line breaks.
std::string ToSse(const SseEvent& event);

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_SSE_PARSER_H_
