#ifndef DAISYPOND_SUSPECTS_SYNCHRONIZED_SUSPECT_TRACKER_H_
#define DAISYPOND_SUSPECTS_SYNCHRONIZED_SUSPECT_TRACKER_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "suspects/suspect_tracker.h"

namespace daisypond::suspects {

/// Identifies one run of a request on one target.
struct RunningRequestId {
  uint64_t value = 0;
  auto operator<=>(const RunningRequestId&) const = default;
};

/// A thread-safe wrapper around a SuspectTracker, to which it passes the
/// current time. Also records which requests this instance currently runs on
/// which target.
class SynchronizedSuspectTracker {
 public:
  SynchronizedSuspectTracker(SuspectOptions options, base::Metrics* metrics)
      : tracker_(options, metrics) {}

  /// Records that a request has started on `target`. The returned ID is passed
  /// to RecordEnd() when that run ends.
  RunningRequestId RecordStart(ContentDigest content_digest,
                               const std::string& target);
  void RecordEnd(RunningRequestId id);

  /// Returns the requests that this instance currently runs on `target`.
  std::vector<AffectedRequest> RequestsRunningOn(
      const std::string& target) const;

  PlacementAdvice AdviceFor(ContentDigest content_digest) const;
  void OnDeath(const TargetDeath& death);
  void OnCondemnedByPeer(ContentDigest content_digest, base::Millis remaining);
  void ResolveHeldRequests();
  void SetTargetCount(size_t n);
  size_t SuspectOverlap(ContentDigest content_digest,
                        const std::string& target) const;
  std::vector<SuspectTracker::CondemnedRequest> AllCondemned() const;

 private:
  struct RunningRequest {
    ContentDigest content_digest;
    std::string target;
    base::Millis started_at;
  };

  mutable std::mutex mutex_;
  SuspectTracker tracker_;
  std::map<RunningRequestId, RunningRequest> running_requests_;
  uint64_t last_id_ = 0;
};

}  // namespace daisypond::suspects

#endif  // DAISYPOND_SUSPECTS_SYNCHRONIZED_SUSPECT_TRACKER_H_
