#ifndef DAISYPOND_FORWARD_EVENT_SPLITTER_H_
#define DAISYPOND_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypond::forward {

/// One whole event of an event stream.
struct StreamEvent {
  /// The bytes as they came, with the blank line at the end.
  std::string bytes;
  /// The number in its "id" field; empty when there is none.
  std::optional<int64_t> id;
};

/// Cuts the bytes of an event stream into whole events.
class EventSplitter {
 public:
  /// Takes in bytes and returns the events that they complete.
  std::vector<StreamEvent> Append(std::string_view bytes);

  /// True when bytes of an event that is not whole are held.
  bool HasPartialEvent() const { return !partial_event_.empty(); }

 private:
  std::string partial_event_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EVENT_SPLITTER_H_
