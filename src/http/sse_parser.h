#ifndef DAISYPOND_HTTP_SSE_PARSER_H_
#define DAISYPOND_HTTP_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace daisypond::http {

/// One event of a text/event-stream.
struct SseEvent {
  std::string id;
  std::string name;
  std::string data;
};

/// Splits a byte stream into events as in the WHATWG HTML standard, section
/// "Interpreting an event stream"; only LF and CRLF line ends are known.
class SseParser {
 public:
  /// Adds bytes and returns the events that they complete. An event that no
  /// blank line has ended is never returned.
  std::vector<SseEvent> Feed(std::string_view bytes);

  /// True when the unfinished event has grown over the size limit. The
  /// stream is of no more use then.
  bool IsEventTooLarge() const { return is_event_too_large_; }

 private:
  void ParseLine(std::string_view line, std::vector<SseEvent>* events);

  std::string unparsed_;
  SseEvent event_;
  bool has_data_ = false;
  bool is_event_too_large_ = false;
};

/// Writes one event, ending with a blank line.
std::string ToSse(const SseEvent& event);

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_SSE_PARSER_H_
