#include "forward/run_end.h"

namespace daisypond::forward {

std::optional<base::Reason> FailureAtEndOfRun(const RunEnd& end) {
  if (end.status == ReadStatus::kTimedOut) {
    return base::Reason::kTargetSilent;
  }
  if (end.status == ReadStatus::kBroken || end.has_partial_event) {
    return base::Reason::kAnswerTorn;
  }
  if (end.has_stream_begun) {
    return std::nullopt;
  }
  return end.is_delimited ? base::Reason::kEmptyAnswer
                          : base::Reason::kAnswerTorn;
}

}  // namespace daisypond::forward
