#ifndef DAISYPOND_GENERATION_COPY_PROGRESS_H_
#define DAISYPOND_GENERATION_COPY_PROGRESS_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "generation/relay_message.h"

namespace daisypond::generation {

struct CopyOptions {
  /// How long to wait for a peer's answer to a copy request before the copy
  /// request is sent to another peer.
  base::Millis timeout{250};
  /// The number of consecutive failed copy requests that are each followed by
  /// a retry. One more failure suspends copying; tokens are then sent to the
  /// caller without being copied to a peer.
  int maximum_failures = 2;
  /// How long copying stays suspended.
  base::Millis suspension_time{1000};
};

/// Tracks how many of a generation's tokens have been copied to a peer. At
/// most one copy request is in flight. Performs no I/O and reads no clock: the
/// caller passes in the time.
class CopyProgress {
 public:
  explicit CopyProgress(CopyOptions options) : options_(options) {}

  /// Returns the copy action to perform next, or nothing while a copy is in
  /// flight, copying is suspended or everything has been copied. `size` is the
  /// number of tokens generated so far.
  std::optional<RelayAction> StartNextCopy(size_t size,
                                           bool is_finished,
                                           base::Millis now);

  /// Processes the outcome of the copy in flight. kSuperseded changes neither
  /// the progress nor the failure count, because the relay ends with an error
  /// when another instance has taken over the generation.
  void OnOutcome(CopyOutcome outcome, base::Millis now);

  /// Ends a suspension that has lasted for suspension_time. Returns true when
  /// the copy in flight has timed out.
  bool ProcessTimeouts(base::Millis now);

  /// Clears all progress, for a generation that restarts from its first token.
  void Reset();

  /// Tokens below this index may be sent to the caller.
  size_t SendLimit(size_t size) const {
    return is_suspended_ ? size : copied_count_;
  }

  /// True when the caller may be told that the generation is complete.
  bool CanSendFinish() const { return is_finish_copied_ || is_suspended_; }

  /// True while tokens are sent to the caller without being copied.
  bool IsSuspended() const { return is_suspended_; }

  bool IsInFlight() const { return is_in_flight_; }
  size_t CopiedTokenCount() const { return copied_count_; }
  base::Millis TimesOutAt() const {
    return copy_started_at_ + options_.timeout;
  }

 private:
  void OnCopyFailed(CopyPeer next, base::Millis now);

  CopyOptions options_;
  // Tokens with an index below `copied_count_` are stored by at least one peer.
  // The next copy sends the tokens from `next_index_` on. After a failed copy
  // `next_index_` is 0, because the next copy may go to a peer that lacks
  // earlier tokens.
  size_t copied_count_ = 0;
  size_t next_index_ = 0;
  // The copy in flight contains the tokens with an index below this one.
  size_t in_flight_end_ = 0;
  bool is_in_flight_ = false;
  bool is_finish_in_flight_ = false;
  bool is_finish_copied_ = false;
  // True after repeated failed copies. Tokens are then sent to the caller
  // uncopied, because serving the caller takes precedence over copying.
  bool is_suspended_ = false;
  int consecutive_failures_ = 0;
  CopyPeer next_peer_ = CopyPeer::kSame;
  base::Millis copy_started_at_;
  base::Millis suspended_until_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_COPY_PROGRESS_H_
