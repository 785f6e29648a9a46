#ifndef DAISYPOND_FORWARD_REQUEST_PERMIT_POOL_H_
#define DAISYPOND_FORWARD_REQUEST_PERMIT_POOL_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// The answer to a request for a permit to send one request to a target.
struct RequestPermit {
  bool is_granted = false;
  /// When not granted: how long to wait before asking again.
  base::Millis wait;
};

/// Grants permits to send requests to targets that limit the requests a second
/// of all instances together. For each such target one instance holds the
/// permits and all instances ask it. A token bucket per target: permits that
/// are not used are kept up to kMaximumUnusedPermits. The bucket of a target is
/// empty at first, so that a change of the holder grants no additional permits.
/// Reads no clock; all methods get the time as an argument.
class RequestPermitPool {
 public:
  static constexpr double kMaximumUnusedPermits = 2;
  /// Permits are granted at least at this rate, so that instances notice when a
  /// target lifts a very low limit.
  static constexpr double kMinimumPermitsPerSecond = 0.25;
  /// A target for which nobody has asked for this long is forgotten.
  static constexpr base::Millis kRetentionPeriod{30'000};

  /// Takes a permit. `limit` is the latest limit known to the instance that
  /// asks, in requests a second.
  RequestPermit Take(const TargetProcess& target,
                     double limit,
                     base::Millis now);

 private:
  struct Bucket {
    double permits = 0;
    /// When `permits` was computed.
    base::Millis updated_at;
    /// Number of permits refused since one was last granted.
    int refused = 0;
  };

  std::map<TargetProcess, Bucket> buckets_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REQUEST_PERMIT_POOL_H_
