#include "generation/copy_progress.h"

#include <algorithm>
#include <utility>

namespace daisypond::generation {

std::optional<RelayAction> CopyProgress::StartNextCopy(size_t size,
                                                       bool is_finished,
                                                       base::Millis now) {
  const bool has_uncopied =
      size > next_index_ || (is_finished && !is_finish_copied_);
  if (is_in_flight_ || is_suspended_ || !has_uncopied) {
    return std::nullopt;
  }
  is_in_flight_ = true;
  is_finish_in_flight_ = is_finished;
  in_flight_end_ = size;
  copy_started_at_ = now;
  RelayAction action;
  action.kind = RelayActionKind::kCopy;
  action.from = next_index_;
  action.to = in_flight_end_;
  action.peer = std::exchange(next_peer_, CopyPeer::kSame);
  return action;
}

void CopyProgress::OnOutcome(CopyOutcome outcome, base::Millis now) {
  is_in_flight_ = false;
  switch (outcome) {
    case CopyOutcome::kStored:
      copied_count_ = std::max(copied_count_, in_flight_end_);
      next_index_ = in_flight_end_;
      is_finish_copied_ = is_finish_copied_ || is_finish_in_flight_;
      consecutive_failures_ = 0;
      return;
    case CopyOutcome::kGap:
      // The peer lacks earlier tokens, so the next copy sends it all tokens.
      OnCopyFailed(CopyPeer::kSame, now);
      return;
    case CopyOutcome::kFailed:
      OnCopyFailed(CopyPeer::kNext, now);
      return;
    case CopyOutcome::kSuperseded:
      return;
  }
}

void CopyProgress::OnCopyFailed(CopyPeer next, base::Millis now) {
  next_index_ = 0;
  is_finish_copied_ = false;
  next_peer_ = next;
  ++consecutive_failures_;
  if (consecutive_failures_ > options_.maximum_failures) {
    is_suspended_ = true;
    suspended_until_ = now + options_.suspension_time;
  }
}

bool CopyProgress::ProcessTimeouts(base::Millis now) {
  if (is_suspended_ && now >= suspended_until_) {
    is_suspended_ = false;
    consecutive_failures_ = 0;
  }
  return is_in_flight_ && now >= TimesOutAt();
}

void CopyProgress::Reset() {
  *this = CopyProgress(options_);
}

}  // namespace daisypond::generation
