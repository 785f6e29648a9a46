#ifndef DAISYPOND_FORWARD_UPLOAD_PROGRESS_H_
#define DAISYPOND_FORWARD_UPLOAD_PROGRESS_H_

#include <cstddef>

#include "base/clock.h"

namespace daisypond::forward {

/// Tells since when a target has taken nothing of a request, from samples of
/// the bytes that it has acknowledged. The class reads no clock: callers pass
/// the current time.
class UploadProgress {
 public:
  /// The request begins to be sent at `now`.
  UploadProgress(size_t total_bytes, base::Millis now)
      : total_bytes_(total_bytes), sampled_at_(now), idle_since_(now) {}

  /// Records how many bytes of the request the target has acknowledged.
  void Sample(size_t acknowledged_bytes, base::Millis now);

  bool IsComplete() const { return acknowledged_bytes_ >= total_bytes_; }

  /// Since when the target has taken nothing. The end of the request counts
  /// from the last sample before it, so that a request that is taken at once is
  /// not awaited any longer for the samples.
  base::Millis IdleSince() const { return idle_since_; }

 private:
  size_t total_bytes_;
  size_t acknowledged_bytes_ = 0;
  base::Millis sampled_at_;
  base::Millis idle_since_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_UPLOAD_PROGRESS_H_
