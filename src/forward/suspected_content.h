#ifndef DAISYPOND_FORWARD_SUSPECTED_CONTENT_H_
#define DAISYPOND_FORWARD_SUSPECTED_CONTENT_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/verdict.h"
#include "forward/request_content.h"
#include "forward/send_tracker.h"

namespace daisypond::forward {

/// A send that has ended without an answer.
struct FailedSend {
  bool is_stream = false;
  SendOutcome outcome = SendOutcome::kUnknown;
  base::Reason reason = base::Reason::kTargetBroken;
  /// Of a stream that has begun: time since its first event from this target.
  std::optional<base::Millis> ran_for;
};

/// Returns what of a request with `content` may have crashed the target of a
/// failed send; empty if nothing.
RequestContent SuspectedContent(const RequestContent& content,
                                const FailedSend& send);

/// Returns the hash of content whose losses are weak. Builds that take all
/// losses for strong don't look for it.
uint64_t WeakHash(uint64_t hash);

/// Returns the content against which the losses of targets count that had run
/// the request for some time. Only the end of an answer speaks for it.
RequestContent LongRunContent(const RequestContent& content);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SUSPECTED_CONTENT_H_
