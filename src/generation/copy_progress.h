#ifndef DAISYPOND_GENERATION_COPY_PROGRESS_H_
#define DAISYPOND_GENERATION_COPY_PROGRESS_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "generation/relay_message.h"

namespace daisypond::generation {

struct CopyOptions {
  /// How long a copy may take before the next peer is tried.
  base::Millis timeout{250};
  /// Peers tried for a copy before tokens go on without one.
  int maximum_failures = 2;
  /// Pause before copying is tried again after that.
  base::Millis suspension_time{1000};
};

/// How far a generation's tokens have been copied to a peer. One copy is on
/// its way at a time. Pure: time comes in as an argument.
class CopyProgress {
 public:
  explicit CopyProgress(CopyOptions options) : options_(options) {}

  /// The copy to send next, or none. `size` counts the tokens so far.
  std::optional<RelayAction> StartNextCopy(size_t size,
                                           bool is_finished,
                                           base::Millis now);

  /// The answer to the copy that is on its way. kSuperseded changes nothing.
  void OnOutcome(CopyOutcome outcome, base::Millis now);

  /// Ends a suspension_time. Returns true when the copy on its way has timed
  /// out.
  bool ProcessTimeouts(base::Millis now);

  /// Forgets everything: the generation starts anew.
  void Reset();

  /// Tokens below this index may go to the caller.
  size_t SendLimit(size_t size) const {
    return is_suspended_ ? size : copied_count_;
  }

  /// True when the generation's end may be told to the caller.
  bool CanSendFinish() const { return is_finish_copied_ || is_suspended_; }

  /// True while tokens go on without a copy.
  bool IsSuspended() const { return is_suspended_; }

  bool IsInFlight() const { return is_in_flight_; }
  size_t CopiedTokenCount() const { return copied_count_; }
  base::Millis TimesOutAt() const { return started_at_ + options_.timeout; }

 private:
  void OnCopyFailed(CopyPeer next, base::Millis now);

  CopyOptions options_;
  // A peer has held the tokens below `copied_count_`; the present peer lacks
  // those from `next_index_` on.
  size_t copied_count_ = 0;
  size_t next_index_ = 0;
  size_t in_flight_end_ = 0;
  bool is_in_flight_ = false;
  bool is_finish_in_flight_ = false;
  bool is_finish_copied_ = false;
  // Serving goes before copying: no peer has answered.
  bool is_suspended_ = false;
  int consecutive_failures_ = 0;
  CopyPeer next_peer_ = CopyPeer::kSame;
  base::Millis started_at_;
  base::Millis resume_at_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_COPY_PROGRESS_H_
