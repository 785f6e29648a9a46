#include "suspects/synchronized_suspect_tracker.h"

namespace daisypond::suspects {

RunningRequestId SynchronizedSuspectTracker::RecordStart(
    ContentDigest content_digest,
    const std::string& target) {
  const std::lock_guard lock(mutex_);
  const RunningRequestId id{++last_id_};
  running_requests_.emplace(
      id, RunningRequest{content_digest, target, base::Clock::Now()});
  tracker_.OnRequestStarted(content_digest, target);
  return id;
}

void SynchronizedSuspectTracker::RecordEnd(RunningRequestId id) {
  const std::lock_guard lock(mutex_);
  const auto it = running_requests_.find(id);
  if (it == running_requests_.end()) {
    return;
  }
  tracker_.OnRequestEnded(it->second.content_digest, it->second.target);
  running_requests_.erase(it);
}

std::vector<AffectedRequest> SynchronizedSuspectTracker::RequestsRunningOn(
    const std::string& target) const {
  const std::lock_guard lock(mutex_);
  const base::Millis now = base::Clock::Now();
  std::vector<AffectedRequest> requests;
  for (const auto& [id, request] : running_requests_) {
    if (request.target == target) {
      requests.push_back({request.content_digest, now - request.started_at});
    }
  }
  return requests;
}

PlacementAdvice SynchronizedSuspectTracker::AdviceFor(
    ContentDigest content_digest) const {
  const std::lock_guard lock(mutex_);
  return tracker_.AdviceFor(content_digest, base::Clock::Now());
}

void SynchronizedSuspectTracker::OnDeath(const TargetDeath& death) {
  const std::lock_guard lock(mutex_);
  tracker_.OnDeath(death, base::Clock::Now());
}

void SynchronizedSuspectTracker::OnCondemnedByPeer(ContentDigest content_digest,
                                                   base::Millis remaining) {
  const std::lock_guard lock(mutex_);
  tracker_.OnCondemnedByPeer(content_digest, remaining, base::Clock::Now());
}

void SynchronizedSuspectTracker::ResolveHeldRequests() {
  const std::lock_guard lock(mutex_);
  tracker_.ResolveHeldRequests(base::Clock::Now());
}

void SynchronizedSuspectTracker::SetTargetCount(size_t n) {
  const std::lock_guard lock(mutex_);
  tracker_.SetTargetCount(n);
}

size_t SynchronizedSuspectTracker::SuspectOverlap(
    ContentDigest content_digest,
    const std::string& target) const {
  const std::lock_guard lock(mutex_);
  return tracker_.SuspectOverlap(content_digest, target);
}

std::vector<SuspectTracker::CondemnedRequest>
SynchronizedSuspectTracker::AllCondemned() const {
  const std::lock_guard lock(mutex_);
  return tracker_.AllCondemned(base::Clock::Now());
}

}  // namespace daisypond::suspects
