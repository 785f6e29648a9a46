#ifndef DAISYPOND_FORWARD_RUN_END_H_
#define DAISYPOND_FORWARD_RUN_END_H_

#include <optional>

#include "base/verdict.h"
#include "forward/response_reader.h"

namespace daisypond::forward {

/// The end of what a target has sent of a stream.
struct RunEnd {
  ReadStatus status = ReadStatus::kDone;
  /// True if it ends inside an event.
  bool has_partial_event = false;
  /// True if the caller has events of the stream, of this attempt or of the one
  /// that it takes up. The target may then have nothing left to send.
  bool has_stream_begun = false;
  /// False if the answer ends with its connection, which may have been lost.
  bool is_delimited = true;
};

/// Returns why the stream is not complete, or nothing if it is.
std::optional<base::Reason> FailureAtEndOfRun(const RunEnd& end);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RUN_END_H_
