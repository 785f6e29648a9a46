#ifndef DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_
#define DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "forward/suspected_request.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// The losses that count against a request.
struct LossCount {
  /// Losses without a common cause.
  size_t isolated = 0;
  /// All losses; those with the same common cause count once.
  size_t events = 0;
};

/// Blocks requests that are suspected to crash the targets they are sent to. A
/// target counts as lost when its connection breaks or when it is unreachable
/// or silent, as observed by this instance or reported by a peer. The loss
/// counts against a request that the target was about to run or had just begun
/// to run. Requests are identified by a hash of their content, because callers
/// send a failed request again, to any instance. When several targets of a
/// service in one failure domain are lost at about the same time, the losses
/// have a common cause; together they count as one loss and as weaker evidence.
/// Reads no clock; all methods get the time as an argument.
class CrashingRequestTracker {
 public:
  /// A request is blocked when this many losses without a common cause count
  /// against it. A harmless request is rarely blocked: even when failure
  /// domains crash one after the other, few requests are sent to three targets
  /// that are lost before they answer.
  static constexpr size_t kTargetLossesUntilBlocked = 3;
  /// A request is also blocked when this many losses count against it, of which
  /// those with the same common cause count once.
  static constexpr size_t kLossEventsUntilBlocked = 5;
  /// Losses of different targets of a service in one failure domain within this
  /// time of each other are attributed to a common cause.
  static constexpr base::Millis kCorrelatedLossWindow{500};
  /// A target that is down is found lost again with each failed connection.
  /// Within this time of the last failure it is still the same loss.
  static constexpr base::Millis kSameLossPeriod{3000};
  /// How long after its latest loss a request that is not blocked is tracked.
  /// Callers retry for up to 30 s.
  static constexpr base::Millis kRetentionPeriod{45'000};
  /// How long after its latest loss a request is blocked.
  static constexpr base::Millis kBlockPeriod{600'000};
  /// Maximum number of requests, and of losses, that are stored. Limits memory
  /// use; the oldest entries are removed first.
  static constexpr size_t kMaximumTrackedRequests = 2000;
  /// Peers are told of requests with at least this many losses. Most harmless
  /// requests that met a loss have only one.
  static constexpr size_t kLossEventsUntilShared = 2;
  /// Maximum number of requests of which peers are told, latest loss first.
  static constexpr size_t kMaximumSharedRequests = 32;

  /// Records the loss of a target. `content_hash` identifies a request that was
  /// sent to the target and not answered yet; it is zero when there is none.
  void OnTargetLost(uint64_t content_hash,
                    const TargetLoss& target,
                    base::Millis now);

  /// Clears the losses counted against a request. A request that was answered
  /// does not crash targets.
  void OnRequestAnswered(uint64_t content_hash, base::Millis now);

  /// Adds what a peer knows of a request.
  void OnSuspectedByPeer(const SuspectedRequest& request, base::Millis now);

  /// Returns the requests of which peers are to be told.
  std::vector<SuspectedRequest> SharedRequests(base::Millis now) const;

  /// True when enough lost targets count against the request; it must not be
  /// sent any more.
  bool IsBlocked(uint64_t content_hash, base::Millis now) const;

  /// Returns the losses that count against the request.
  LossCount CountLosses(uint64_t content_hash) const;

 private:
  struct Loss {
    TargetLoss target;
    base::Millis lost_at;
    /// When the target was last found lost.
    base::Millis last_found_at;
    /// Number of other targets of the service in the failure domain that were
    /// lost at about the same time.
    int simultaneous = 0;
  };

  struct RequestLosses {
    /// Latest loss of each process of a target.
    std::map<TargetProcess, Loss> processes;
    base::Millis last_lost_at;
    /// Losses up to this time do not count.
    std::optional<base::Millis> answered_at;

    LossCount Count() const;
    /// True when other targets than those that count against the request were
    /// lost together with this one, or more than one other target.
    bool HasCommonCause(const Loss& loss) const;
    bool IsBlocked() const;
    bool HasExpired(base::Millis now) const;
  };

  /// Returns the entry of `recent_losses_` for a target that is still lost
  /// since an earlier report, or a new entry.
  const Loss& FindOrAddLoss(const TargetLoss& target, base::Millis now);
  /// Finds the recent losses at about the time of the new `loss`; updates
  /// `simultaneous` of all of them.
  void FindSimultaneous(Loss* loss);
  /// Copies `simultaneous` of `loss` to wherever it counts against a request.
  void CopySimultaneous(const Loss& loss);
  void RemoveExpired(base::Millis now);

  std::map<uint64_t, RequestLosses> losses_by_content_;
  /// All target losses within kRetentionPeriod, ordered by time.
  std::deque<Loss> recent_losses_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_
