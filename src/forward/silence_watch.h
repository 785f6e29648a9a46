#ifndef DAISYPOND_FORWARD_SILENCE_WATCH_H_
#define DAISYPOND_FORWARD_SILENCE_WATCH_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"
#include "forward/target_call.h"
#include "forward/target_silence.h"

namespace daisypond::forward {

/// Tracks the silence of a stream's target: since when it lasts, what probes
/// have found out and when to look at it next.
class SilenceWatch {
 public:
  /// How long before the silence timeout a probe begins when the stream can go
  /// on elsewhere at once. Much longer than a round trip.
  static constexpr base::Millis kProbeLead{100};
  /// Interval at which a silent target is looked at again.
  static constexpr base::Millis kCheckPeriod{800};

  explicit SilenceWatch(base::Millis now) : heard_at_(now) {}

  /// The target has sent bytes, or nothing was expected of it until now.
  void OnHeard(base::Millis now) {
    heard_at_ = now;
    next_check_at_.reset();
    probe_.reset();
  }

  /// Returns when to look at the silence. `timeout` is the silence after which
  /// the target may count as lost.
  base::Millis NextCheckAt(base::Millis timeout, bool is_copied) const {
    const base::Millis lead = is_copied ? kProbeLead : base::Millis{0};
    return next_check_at_.value_or(heard_at_ + std::max(timeout - lead, lead));
  }

  base::Millis DurationAt(base::Millis now) const { return now - heard_at_; }

  /// Outcome of a probe that is not to be repeated at this look.
  const std::optional<CallEnd>& Probe() const { return probe_; }

  /// The stream waits on after `silence` has been looked at.
  void OnWait(base::Millis now, const TargetSilence& silence) {
    const bool is_early = silence.duration < silence.timeout;
    probe_ = is_early ? silence.probe : std::nullopt;
    next_check_at_ =
        is_early ? heard_at_ + silence.timeout : now + kCheckPeriod;
  }

 private:
  /// When the target last sent bytes of the stream.
  base::Millis heard_at_;
  std::optional<base::Millis> next_check_at_;
  std::optional<CallEnd> probe_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SILENCE_WATCH_H_
