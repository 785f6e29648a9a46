#ifndef DAISYPOND_FORWARD_EVENT_SPLITTER_H_
#define DAISYPOND_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypond::forward {

/// One complete event of a server-sent event stream.
struct StreamEvent {
  /// The bytes as received, including the terminating blank line.
  std::string bytes;
  /// The number in the "id" field; empty when the field is missing or not a
  /// number.
  std::optional<int64_t> id;
};

/// Splits the bytes of a server-sent event stream into complete events.
class EventSplitter {
 public:
  /// Appends received bytes and returns the events that they complete.
  std::vector<StreamEvent> Append(std::string_view bytes);

  /// True when the last bytes received belong to an event that is not complete
  /// yet.
  bool HasPartialEvent() const { return !partial_event_.empty(); }

  /// Size of the event that is not complete yet.
  size_t PartialBytes() const { return partial_event_.size(); }

 private:
  std::string partial_event_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EVENT_SPLITTER_H_
