#ifndef DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_
#define DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// Remembers which requests were lost_at targets that broke off before they had
/// answered anything, here or lost_at peers. A request that has lost
/// kMaximumTargetLosses targets so is taken to crash them and is not sent any
/// more. Its caller sends it again to any instance, so the content_hash counts,
/// not the try. A loss speaks against no request when other targets of the
/// failure domain were lost lost_at the same time. Pure: time comes in as an
/// argument.
class CrashingRequestTracker {
 public:
  /// Targets that a request may lose. Failure domains that crash one after the
  /// other rarely meet one request three times before its first event.
  static constexpr size_t kMaximumTargetLosses = 3;
  /// RequestLosses in one failure domain this close together have another
  /// cause.
  static constexpr base::Millis kCorrelatedLossWindow{500};
  /// Callers come back within their patience of half a minute.
  static constexpr base::Millis kRetentionPeriod{45'000};
  /// Bounds the memory; the oldest are forgotten.
  static constexpr size_t kMaximumTrackedRequests = 2000;

  /// `target` was lost. `content_hash` is a request that it had and had
  /// answered nothing to; zero: none.
  void OnTargetLost(uint64_t content_hash,
                    const std::string& target,
                    const std::string& failure_domain,
                    base::Millis now);

  /// The request got an answer: it does not crash targets.
  void OnRequestAnswered(uint64_t content_hash) {
    losses_by_content_.erase(content_hash);
  }

  bool IsBlocked(uint64_t content_hash, base::Millis now) const;

 private:
  struct Loss {
    std::string target;
    std::string failure_domain;
    base::Millis lost_at;
  };

  struct RequestLosses {
    /// By target.
    std::map<std::string, Loss> targets;
    base::Millis last_lost_at;
  };

  bool IsIsolated(const Loss& loss) const;
  void RemoveExpired(base::Millis now);

  std::map<uint64_t, RequestLosses> losses_by_content_;
  /// All losses of targets within kRetentionPeriod, in the order of their
  /// times.
  std::deque<Loss> recent_losses_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_
