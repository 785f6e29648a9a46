#include "forward/crashing_request_tracker.h"

#include <algorithm>

namespace daisypond::forward {

void CrashingRequestTracker::OnTargetLost(uint64_t content_hash,
                                          const TargetLoss& target,
                                          base::Millis now) {
  const Loss loss = FindOrAddLoss(target, now);
  if (content_hash != 0) {
    RequestLosses& losses = losses_by_content_[content_hash];
    losses.processes[target.process] = loss;
    losses.last_lost_at = now;
  }
  RemoveExpired(now);
}

const CrashingRequestTracker::Loss& CrashingRequestTracker::FindOrAddLoss(
    const TargetLoss& target,
    base::Millis now) {
  const auto it = std::find_if(
      recent_losses_.rbegin(), recent_losses_.rend(), [&](const Loss& loss) {
        return loss.target.process == target.process &&
               now - loss.last_found_at < kSameLossPeriod;
      });
  if (it != recent_losses_.rend()) {
    it->last_found_at = now;
    return *it;
  }
  recent_losses_.push_back({target, now, now});
  return recent_losses_.back();
}

bool CrashingRequestTracker::IsIsolated(const Loss& loss) const {
  return std::none_of(
      recent_losses_.begin(), recent_losses_.end(), [&](const Loss& it) {
        return it.target.service == loss.target.service &&
               it.target.failure_domain == loss.target.failure_domain &&
               it.target.process.id != loss.target.process.id &&
               it.lost_at < loss.lost_at + kCorrelatedLossWindow &&
               loss.lost_at < it.lost_at + kCorrelatedLossWindow;
      });
}

size_t CrashingRequestTracker::CountedLosses(uint64_t content_hash,
                                             base::Millis now) const {
  const auto it = losses_by_content_.find(content_hash);
  if (it == losses_by_content_.end()) {
    return 0;
  }
  const auto n =
      std::count_if(it->second.processes.begin(), it->second.processes.end(),
                    [&](const auto& lost) {
                      return now - lost.second.lost_at < kRetentionPeriod &&
                             IsIsolated(lost.second);
                    });
  return static_cast<size_t>(n);
}

bool CrashingRequestTracker::IsBlocked(uint64_t content_hash,
                                       base::Millis now) const {
  return CountedLosses(content_hash, now) >= kTargetLossesUntilBlocked;
}

void CrashingRequestTracker::RemoveExpired(base::Millis now) {
  while (!recent_losses_.empty() &&
         (now - recent_losses_.front().lost_at >= kRetentionPeriod ||
          recent_losses_.size() > kMaximumTrackedRequests)) {
    recent_losses_.pop_front();
  }
  std::erase_if(losses_by_content_, [&](const auto& it) {
    return now - it.second.last_lost_at >= kRetentionPeriod;
  });
  if (losses_by_content_.size() > kMaximumTrackedRequests) {
    losses_by_content_.erase(
        std::min_element(losses_by_content_.begin(), losses_by_content_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.last_lost_at < b.second.last_lost_at;
                         }));
  }
}

}  // namespace daisypond::forward
